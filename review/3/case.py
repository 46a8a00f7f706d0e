"""A VM that starts while the store is slow misses a configuration for good."""

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
    Store,
    configuration,
    main,
    route,
    trouble,
    wait_ready,
)

ADAPTERS = 600
"""Adapters with a declared version; the sites have 3,000 adapters and more."""
ANSWER_S = 0.004
"""Time of an answer of the store, as the sheets say."""
SLOW_X = 60
"""How many times as long an answer takes while the store is slow, as the site says."""
SLOW_FOR_S = 4.5
CHANGE_AFTER_S = 0.1
"""Time from the VM's first call for the configuration to the operator's change."""
SETTLE_S = 12.0
"""Time from the change to the first request that is judged: more than
``config_apply_ms`` + ``max_stretch_ms`` + ``stable_window_ms`` after the slow store."""
REQUESTS = 40


def run(journal: Journal, folder: Path, vms: list[EntryVm]) -> bool:
    """Return whether requests were run as only the older version allows."""
    store = Store()
    servers = [
        PlainServer(store, journal, f"i-{s}", s, "zone-a") for s in ("old", "new")
    ]
    store.put("keyed.op", "config", configuration(1, [route("/stock/", "safe", "old")]))
    for number in range(ADAPTERS):
        declare(store, number, 2)
    slow_until = time.monotonic() + (SLOW_FOR_S if trouble() else 0.0)

    def delay_s(path: str, _query: dict[str, str]) -> float:
        is_slow = time.monotonic() < slow_until
        return ANSWER_S * (SLOW_X if is_slow else 1)

    is_read = threading.Event()

    def on_call(path: str, query: dict[str, str]) -> None:
        if path in ("/v1/log-newest", "/v1/log-read"):
            journal.write(f"store {path} {query}")
        if path == "/v1/log-newest" and query["topic"] == "keyed.op":
            is_read.set()

    store.delay_s, store.on_call = delay_s, on_call
    vms.append(EntryVm(folder, "vm-1", "zone-a", store.port))
    is_read.wait(20)
    time.sleep(CHANGE_AFTER_S)
    at = store.put(
        "keyed.op", "config", configuration(2, [route("/stock/", "safe", "new")])
    )
    journal.write(f"operator: configuration 2 confirmed at offset {at}")
    at = declare(store, ADAPTERS - 1, 3)
    journal.write(f"operator: a version of an adapter confirmed at offset {at}")
    changed_at = time.monotonic()
    wait_ready(vms)
    journal.write("ready")
    time.sleep(max(0.0, changed_at + SETTLE_S - time.monotonic()))
    for number in range(REQUESTS):
        request_id = f"{number:016x}"
        journal.write(f"send {request_id}")
        status, body = vms[0].ask("GET", "/stock/1", request_id)
        journal.write(f"answer {request_id}: {status} {body!r}")
        time.sleep(0.1)
    old, new = (len(server.arrivals) for server in servers)
    journal.write(f"run by the old service {old}, by the new one {new}")
    return old > 0


def declare(store: Store, number: int, version: int) -> int:
    """Declare a version of an adapter; return the offset of the record."""
    adapter = f"a{number + 1}"
    value = {"model": "m0", "adapter": adapter, "version": version}
    return store.put("keyed.op", f"version/m0.{adapter}", value)


if __name__ == "__main__":
    main(run, FOLDER)
