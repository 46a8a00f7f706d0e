"""A channel to the store that has fallen silent hides changes for seconds."""

from __future__ import annotations

import sys
import threading
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
"""VMs of the zone, as dakar-c of papillon-hq has."""
IN_TOUCH_S = 3.0
"""``stable_window_ms``: from then on the machines are in touch again."""
CHANGES = 4
CHANGE_GAP_S = 0.35
"""Time between two configurations; `config_storm` has 0.33."""
APPLY_S = 2.0
"""``config_apply_ms``."""
UNTIL_S = 9.0
GAP_S = 0.03


class Operator(threading.Thread):
    """Confirms configurations, each of which moves the route to another service."""

    def __init__(self, store: Store, journal: Journal) -> None:
        super().__init__(daemon=True)
        self._store, self._journal = store, journal
        self.confirmed: dict[int, float] = {}

    def change(self, version: int) -> None:
        """Confirm a configuration."""
        made = configuration(version, [route("/stock/", "safe", f"s{version}")])
        at = self._store.put("keyed.op", "config", made)
        self.confirmed[version] = time.monotonic()
        self._journal.write(f"operator: configuration {version} confirmed, offset {at}")

    def run(self) -> None:
        """Confirm some configurations, one after another."""
        for version in range(2, CHANGES + 2):
            self.change(version)
            time.sleep(CHANGE_GAP_S)

    def least_version(self, at: float) -> int:
        """Return the oldest version that a request sent at a time may be under."""
        due = [v for v, when in self.confirmed.items() if at - when > APPLY_S]
        return max(due, default=1)


def run(journal: Journal, folder: Path, vms: list[EntryVm]) -> bool:
    """Return whether requests were run as only an older version allows."""
    store = Store()
    operator = Operator(store, journal)
    servers = [
        PlainServer(store, journal, f"i-{version}", f"s{version}", "zone-a")
        for version in range(1, CHANGES + 2)
    ]
    operator.change(1)
    proxies = [Proxy(store.port) for _ in range(VMS)]
    for number, proxy in enumerate(proxies):
        vms.append(EntryVm(folder, f"vm-{number}", "zone-a", proxy.port))
    wait_ready(vms)
    time.sleep(6.0)
    declare(store, journal)
    time.sleep(0.1)
    silent_at = time.monotonic()
    if trouble():
        for proxy in proxies:
            proxy.silence_open()
        journal.write("the open channels to the store are silent")
    time.sleep(IN_TOUCH_S)
    operator.start()
    sent: dict[str, float] = {}
    while time.monotonic() < silent_at + UNTIL_S:
        request_id = f"{len(sent):016x}"
        vm = vms[len(sent) % VMS]
        sent[request_id] = time.monotonic()
        journal.write(f"send {request_id} to {vm.name}")
        status, body = vm.ask("GET", "/stock/1", request_id)
        journal.write(f"answer {request_id}: {status} {body!r}")
        time.sleep(GAP_S)
    late = 0
    for version, server in enumerate(servers, start=1):
        for key in server.arrivals:
            least = operator.least_version(sent[key])
            if version < least:
                late += 1
                after_s = sent[key] - operator.confirmed[least]
                journal.write(
                    f"late {key}: run by {server.service}, sent {after_s:.3f} s after"
                    f" configuration {least} was confirmed"
                )
    journal.write(f"sent {len(sent)}, run under a version that was too old {late}")
    return late > 0


def declare(store: Store, journal: Journal) -> None:
    """Declare a version of an adapter, as operators do at any time."""
    value = {"model": "m0", "adapter": "a1", "version": 2}
    at = store.put("keyed.op", "version/m0.a1", value)
    journal.write(f"operator: a version of an adapter confirmed at offset {at}")


if __name__ == "__main__":
    main(run, FOLDER)
