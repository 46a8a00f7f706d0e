"""A channel to the store that has fallen silent hides a change for seconds."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    EntryVm,
    Journal,
    PlainServer,
    Proxy,
    Store,
    configuration,
    main,
    route,
    trouble,
    wait_ready,
)

VMS = 2
"""VMs of the zone, as two of the three zones of kowalczyk-hire have."""
IN_TOUCH_S = 3.0
"""``stable_window_ms``: from then on the machines are in touch again."""
CHANGE_S = IN_TOUCH_S
"""Time from the silence to the confirmation of the change."""
APPLY_S = 2.0
"""``config_apply_ms``."""
UNTIL_S = 9.0
GAP_S = 0.05


def run(journal: Journal, folder: Path, vms: list[EntryVm]) -> bool:
    """Return whether requests were run as only the older version allows."""
    store = Store()
    servers = [
        PlainServer(store, journal, f"i-{s}", s, "zone-a") for s in ("old", "new")
    ]
    store.put("keyed.op", "config", configuration(1, [route("/stock/", "safe", "old")]))
    proxies = [Proxy(store.port) for _ in range(VMS)]
    for number, proxy in enumerate(proxies):
        vms.append(EntryVm(folder, f"vm-{number}", "zone-a", proxy.port))
    wait_ready(vms)
    time.sleep(6.0)
    declare(store, journal, 2)
    time.sleep(0.1)
    silent_at = time.monotonic()
    if trouble():
        for proxy in proxies:
            proxy.silence_open()
        journal.write("the open channels to the store are silent")
    time.sleep(CHANGE_S)
    version_2 = configuration(2, [route("/stock/", "safe", "new")])
    at = store.put("keyed.op", "config", version_2)
    confirmed_at = time.monotonic()
    journal.write(f"operator: configuration 2 confirmed at offset {at}")
    sent: dict[str, float] = {}
    number = 0
    while time.monotonic() < silent_at + UNTIL_S:
        request_id = f"{number:016x}"
        vm = vms[number % VMS]
        sent[request_id] = time.monotonic() - confirmed_at
        journal.write(f"send {request_id} to {vm.name}")
        status, body = vm.ask("GET", "/stock/1", request_id)
        journal.write(f"answer {request_id}: {status} {body!r}")
        number += 1
        time.sleep(GAP_S)
    late = [key for key in servers[0].arrivals if sent[key] > APPLY_S]
    for key in late:
        journal.write(f"late {key}: sent {sent[key]:.3f} s after the confirmation")
    journal.write(f"sent {len(sent)}, late at the old service {len(late)}")
    return bool(late)


def declare(store: Store, journal: Journal, version: int) -> None:
    """Declare a version of an adapter, as operators do at any time."""
    value = {"model": "m0", "adapter": "a1", "version": version}
    at = store.put("keyed.op", "version/m0.a1", value)
    journal.write(f"operator: a version of an adapter confirmed at offset {at}")


if __name__ == "__main__":
    main(run, FOLDER)
