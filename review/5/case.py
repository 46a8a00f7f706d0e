"""A request that crashes its runners some time after its first event comes again."""

from __future__ import annotations

import http.client
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    HOST,
    PREFIX,
    EntryVm,
    Journal,
    ModelRunner,
    Store,
    configuration,
    main,
    request_headers,
    route,
    trouble,
    wait_ready,
)

RUNNERS = 3
DEADLY = b"deadly"
CRASH_EVENT = 16
"""Event before which the deadly request crashes its runner: 0.3 s after its first."""
STABLE_S = 3.0
"""``stable_window_ms``."""
AGAIN_S = 3.0
"""Time from one deadly request to the next."""
LENGTH_S = 60.0
MOST = 3


class Runner(ModelRunner):
    """A runner that one request crashes."""

    def crashes_at(self, body: bytes) -> int:
        """Return the event before which a request crashes the runner, 0 if none."""
        return CRASH_EVENT if trouble() and body == DEADLY else 0


def run(journal: Journal, folder: Path, vms: list[EntryVm]) -> bool:
    """Return whether the deadly request reached runners in too many retries."""
    store = Store()
    runners = [Runner(store, journal, f"i-{n}", "zone-a") for n in range(RUNNERS)]
    routes = [route("/fold/", "stream", "models", timeout_ms=5000, gap_aim_ms=250)]
    store.put("keyed.op", "config", configuration(1, routes))
    for number in range(2):
        vms.append(EntryVm(folder, f"vm-{number}", "zone-a", store.port))
    wait_ready(vms)
    time.sleep(8.0)
    is_over = threading.Event()
    cut: list[str] = []
    args = (vms, journal, is_over, cut)
    threading.Thread(target=send_sound, args=args, daemon=True).start()
    began_at = time.monotonic()
    sent = 0
    while time.monotonic() < began_at + LENGTH_S:
        key = f"dead{sent:012x}"
        status, events = stream(vms[sent % 2], key, DEADLY)
        journal.write(f"answer {key}: {status}, {events} events")
        sent += 1
        time.sleep(AGAIN_S)
    is_over.set()
    crashes = sorted(at for runner in runners for at in runner.crash_times)
    arrivals = sorted(
        at
        for runner in runners
        for at, key in runner.arrivals
        if key.startswith("dead")
    )
    limit = crashes[2] + STABLE_S if len(crashes) > 2 else float("inf")
    late = [at for at in arrivals if at > limit]
    journal.write(
        f"deadly requests sent {sent}, crashes {len(crashes)}, reached runners later"
        f" than {STABLE_S} s after the third {len(late)}, sound streams cut {len(cut)}"
    )
    return len(late) > MOST


def send_sound(
    vms: list[EntryVm], journal: Journal, is_over: threading.Event, cut: list[str]
) -> None:
    """Send sound streams all the time; add those that were cut to ``cut``."""
    number = 0
    while not is_over.is_set():
        key = f"{number:016x}"
        status, events = stream(vms[number % 2], key, b"sound")
        journal.write(f"answer {key}: {status}, {events} events")
        if status == 200 and events < ModelRunner.EVENTS:
            cut.append(key)
        number += 1
        time.sleep(0.02)


def stream(vm: EntryVm, key: str, body: bytes) -> tuple[int, int]:
    """Send a request for a stream; return its status and the events that came."""
    conn = http.client.HTTPConnection(HOST, vm.port, timeout=10)
    headers = request_headers(key, 5000)
    headers |= {f"{PREFIX}Model": "m0", f"{PREFIX}Token-Count": "100,40"}
    headers[f"{PREFIX}Prompt-Prefix"] = f"{abs(hash(key)) % 2**32:x}:100"
    status, data = 0, b""
    try:
        conn.request("POST", "/fold/1", body, headers)
        response = conn.getresponse()
        status = response.status
        while line := response.readline():
            data += line
    except (OSError, http.client.HTTPException):
        pass
    finally:
        conn.close()
    return status, data.count(b"\n\n")


if __name__ == "__main__":
    main(run, FOLDER)
