"""One answer without end makes a whole VM stand still."""

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
    ModelHandler,
    ModelRunner,
    PlainServer,
    Store,
    configuration,
    main,
    request_headers,
    route,
    trouble,
    wait_ready,
)

VMS = 2
PIECE = b"x" * 40
"""A piece of the endless event; the site's pieces of streams have 40 bytes."""
PIECES_AT_ONCE = 400
TIMEOUT_MS = 2000
"""``timeout_ms`` of the orders' route, as the site has it."""
DEADLINE_MS = 4000
STREAM_MS = 15000
"""Time-out of the stream's route and time budget of its client: `design-chat`."""
GRACE_S = 0.5
FEW = 8
"""Requests that last beyond their time-out, from which on the rule counts."""
BEFORE_S = 3.0
LENGTH_S = 22.0
GAP_S = 0.1


class Handler(ModelHandler):
    """Answers one request with bytes that go on until the caller closes."""

    def run_request(self, request_id: str) -> None:
        """Answer soundly, but not the request of the faulty answer."""
        if not trouble() or self.body != b"faulty":
            super().run_request(request_id)
            return
        self.model.journal.write(f"{self.model.name} sends an answer without end")
        self.send_head(request_id)
        chunk = f"{len(PIECE):x}\r\n".encode() + PIECE + b"\r\n"
        sent = 0
        try:
            while True:
                self.wfile.write(chunk * PIECES_AT_ONCE)
                sent += len(PIECE) * PIECES_AT_ONCE
        except OSError:
            self.model.journal.write(f"the caller has closed; {sent} bytes were sent")
            self.close_connection = True


def run(journal: Journal, folder: Path, vms: list[EntryVm]) -> bool:
    """Return whether orders had no answer at their time-out and half a second later."""
    store = Store()
    ModelRunner(store, journal, "i-model", "zone-a", Handler)
    PlainServer(store, journal, "i-plain", "orders", "zone-a")
    routes = [
        route("/fold/", "stream", "models", timeout_ms=STREAM_MS, gap_aim_ms=250),
        route("/kit/", "unsafe", "orders", timeout_ms=TIMEOUT_MS),
    ]
    store.put("keyed.op", "config", configuration(1, routes))
    for number in range(VMS):
        vms.append(EntryVm(folder, f"vm-{number}", "zone-a", store.port))
    wait_ready(vms)
    time.sleep(8.0)
    took: dict[str, float] = {}
    threads = []
    began_at = time.monotonic()
    number = 0
    while time.monotonic() < began_at + LENGTH_S:
        if number == int(BEFORE_S / GAP_S):
            threads.append(start(send_stream, vms[0], journal))
        threads.append(start(send_order, vms[number % VMS], journal, number, took))
        number += 1
        time.sleep(GAP_S)
    for thread in threads:
        thread.join()
    timeout_s = TIMEOUT_MS / 1000
    lasting = [key for key, seconds in took.items() if seconds > timeout_s]
    late = [key for key in lasting if took[key] > timeout_s + GRACE_S]
    journal.write(
        f"orders {len(took)}, unanswered at the time-out {len(lasting)},"
        f" half a second later {len(late)}"
    )
    return len(lasting) >= FEW and len(late) > len(lasting) / 2


def start(target: object, *args: object) -> threading.Thread:
    """Start a thread."""
    thread = threading.Thread(target=target, args=args, daemon=True)  # type: ignore[arg-type]
    thread.start()
    return thread


def send_order(
    vm: EntryVm, journal: Journal, number: int, took: dict[str, float]
) -> None:
    """Send an order; record the seconds until its answer, or those that it waited."""
    key = f"{number:016x}"
    began_at = time.monotonic()
    conn = http.client.HTTPConnection(HOST, vm.port, timeout=DEADLINE_MS / 1000)
    journal.write(f"send {key} to {vm.name}")
    try:
        conn.request("POST", "/kit/1", b"order", request_headers(key, DEADLINE_MS))
        text = str(conn.getresponse().status)
    except (OSError, http.client.HTTPException) as exc:
        text = f"none, {exc!r}"
    took[key] = time.monotonic() - began_at
    journal.write(f"answer {key} after {took[key]:.3f} s: {text}")
    conn.close()


def send_stream(vm: EntryVm, journal: Journal) -> None:
    """Send the request for a stream whose answer has no end."""
    headers = request_headers("f" * 16, STREAM_MS)
    headers |= {f"{PREFIX}Model": "m0", f"{PREFIX}Token-Count": "100,40"}
    headers[f"{PREFIX}Prompt-Prefix"] = "ff:100"
    conn = http.client.HTTPConnection(HOST, vm.port, timeout=STREAM_MS / 1000)
    journal.write(f"send the request for a stream to {vm.name}")
    try:
        conn.request("POST", "/fold/1", b"faulty", headers)
        journal.write(f"answer of the stream: {conn.getresponse().status}")
    except (OSError, http.client.HTTPException) as exc:
        journal.write(f"answer of the stream: none, {exc!r}")
    conn.close()


if __name__ == "__main__":
    main(run, FOLDER)
