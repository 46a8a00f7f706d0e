"""Two VMs order one runner: a peer that once said it leaves is believed for good."""

from __future__ import annotations

import http.client
import itertools
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    CannotRunError,
    EntryVm,
    Journal,
    ModelRunner,
    Store,
    configuration,
    main,
    route,
    trouble,
    wait_ready,
)

RUNNERS = 4
ADAPTERS = 40
REFUSED_FOR_S = 9.0
"""How long the store refuses one VM: `platform_down`, `nodes`, for_s 9.0."""
BUSY_S = 3.0
"""Time for which the VM that stops still has a request to finish."""
RESTART_S = 0.2
"""Time from its end to the start of its next process."""
LEASE_S = 3.0
"""``lease_ms``."""


def run(journal: Journal, folder: Path, vms: list[EntryVm]) -> bool:
    """Return whether two VMs gave orders to one runner by turns."""
    store = Store()
    refused: set[str] = set()
    store.refuses = lambda machine: machine in refused
    runners = [ModelRunner(store, journal, f"i-{n}", "zone-a") for n in range(RUNNERS)]
    routes = [route("/fold/", "stream", "models", timeout_ms=5000, gap_aim_ms=250)]
    store.put("keyed.op", "config", configuration(1, routes))
    for name in ("vm-a", "vm-b", "vm-c"):
        vms.append(EntryVm(folder, name, "zone-a", store.port_for(name)))
    vm_a, vm_b, vm_c = vms
    wait_ready(vms)
    time.sleep(8.0)
    stop(vm_c, journal)
    is_over = threading.Event()
    for vm in (vm_a, vm_b):
        for part in range(2):
            args = (vm, part, journal, is_over)
            threading.Thread(target=ask_often, args=args, daemon=True).start()
    time.sleep(6.0)
    if trouble():
        refused.add("vm-a")
        journal.write("the store refuses vm-a")
    time.sleep(0.3)
    started_at = time.monotonic()
    stop(vm_b, journal, BUSY_S)
    time.sleep(RESTART_S)
    vm_b.restart()
    journal.write("vm-b starts again")
    time.sleep(max(0.0, started_at + REFUSED_FOR_S - 0.3 - time.monotonic()))
    refused.clear()
    journal.write("the store serves vm-a again")
    time.sleep(4.0)
    is_over.set()
    broken = [judge(runner, journal) for runner in runners]
    return any(broken)


def stop(vm: EntryVm, journal: Journal, least_s: float = 0.0) -> None:
    """Send SIGTERM and wait for the end of the process."""
    began_at = time.monotonic()
    journal.write(f"SIGTERM to {vm.name}")
    vm.process.send_signal(signal.SIGTERM)
    vm.process.wait(12)
    if vm.process.returncode:
        raise CannotRunError(f"{vm.name} ended with {vm.process.returncode}")
    journal.write(f"{vm.name} has ended")
    time.sleep(max(0.0, began_at + least_s - time.monotonic()))


_NUMBERS = itertools.count()


def ask_often(
    vm: EntryVm, part: int, journal: Journal, is_over: threading.Event
) -> None:
    """Send requests for adapters of changing names until the run is over."""
    while not is_over.is_set():
        number = next(_NUMBERS)
        key = f"{number:016x}"
        model = f"m0/a{1 + (number * 7 + part) % ADAPTERS}"
        more = {
            "Model": model,
            "Token_Count": "100,6",
            "Prompt_Prefix": f"{number:x}:100",
        }
        try:
            status, _ = vm.ask("POST", "/fold/1", key, 5000, **more)
            journal.write(f"answer {key} of {vm.name}: {status}")
        except (OSError, http.client.HTTPException) as exc:
            journal.write(f"no answer {key} of {vm.name}: {exc!r}")
            time.sleep(0.1)
        time.sleep(0.02)


def judge(runner: ModelRunner, journal: Journal) -> bool:
    """Return whether holders took turns or a generation number went down."""
    broken = False
    last: dict[str, float] = {}
    previous, highest = "", 0
    for at, holder, fence in runner.orders:
        turned = holder != previous and at - last.get(holder, -LEASE_S) < LEASE_S
        if previous and (turned or fence < highest):
            journal.write(
                f"broken at {runner.name}, {at:.3f}: {holder} with generation {fence}"
                f" after {previous} with {highest}"
            )
            broken = True
        last[holder] = at
        previous, highest = holder, max(highest, fence)
    return broken


if __name__ == "__main__":
    main(run, FOLDER)
