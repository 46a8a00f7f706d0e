"""Soak of client accounts: random changes and loads until a rule is broken.

`tools/soak accounts [--seed N] [--minutes M]`. The sequence of actions follows from the
seed, the interleaving with the callers does not.
"""

from __future__ import annotations

import contextlib
import http.client
import itertools
import random
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import click

from tests.lib.account_ledger import (
    IN_FORCE_S,
    AccountLedger,
    Call,
    accounts_section,
)
from tests.lib.platform_site import (
    MODEL,
    EntryVm,
    Site,
    make_config,
    request_headers,
    wait_for,
)

USUAL = ("acme", "globex", "initech")
LOUD = "loud"
CAPPED = "capped"
CAPS = {CAPPED: (8.0, 8.0)}
USUAL_PER_S = 4.0
LOUD_FACTOR = 15
"""Demand of the loud account in a burst, in usual ones: with the others it is more than
the plain servers can do."""
SLOTS = 2
WORK_S = 0.1
BURST_S = 2.5
SLOW_READERS = 8
EVENT_BYTES = 60_000
"""Bytes of an event for slow readers: some events fill their socket."""


class AccountSoak:
    """Callers of several accounts at all VMs, and actions that disturb them."""

    def __init__(self, site: Site, seed: int) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._picks = random.Random(seed)
        self._numbers = itertools.count()
        self._version = 1
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.ledger = AccountLedger(CAPS, USUAL)
        self.accounts = {name: [self._new_key()] for name in (*USUAL, LOUD, CAPPED)}
        for runner in site.plain:
            runner.slots, runner.work_s = SLOTS, WORK_S
            site.register(runner)
        for runner in [*site.plain, *site.models]:
            self.ledger.watch(runner)
        self.actions: list[Callable[[], str]] = [
            self.add_key,
            self.move_key,
            self.revoke_key,
            self.exceed_cap,
            self.multiply_demand,
            self.read_slowly,
            self.kill_vm,
        ]
        self._configure()
        self._wait_for_allocators()

    def _new_key(self) -> str:
        return f"gk-{self._rng.getrandbits(48):012x}"

    def _configure(self) -> None:
        """Write the accounts, and wait until all VMs have them in force."""
        self._version += 1
        config = make_config(self._version)
        config["tenants"] = accounts_section(self.accounts, CAPS)
        self.ledger.record_keys(self.accounts, time.monotonic())
        self._site.store.put("keyed.op", "config", config)
        says = f"says=configuration:{self._version}"
        vms = self._site.vms
        wait_for(lambda: all(says in vm.log.read_text() for vm in vms), says)

    def _wait_for_allocators(self) -> None:
        """Wait until a capped request is served: new VMs own nothing at first."""
        wait_for(lambda: self._call("first", CAPPED) == 200, "an allocator")

    def start(self) -> None:
        """Let the usual callers of all accounts come."""
        for name in self.accounts:
            self._spawn(self._call_evenly, f"usual {name}", name, USUAL_PER_S)

    def _spawn(self, target: Callable[..., object], *arguments: object) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Stop the callers, and wait for their last calls."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(15)

    def _call_evenly(
        self, caller: str, name: str, per_s: float, seconds: float = float("inf")
    ) -> None:
        """Call at a rate, whatever the answers are."""
        next_at = time.monotonic()
        ends_at = next_at + seconds
        while not self._stopped.is_set() and next_at < ends_at:
            self._spawn(self._call, caller, name)
            next_at += 1 / per_s
            self._stopped.wait(max(0.0, next_at - time.monotonic()))

    def _call(self, caller: str, name: str) -> int:
        """Send a request of an account to the next VM; return the status, 0 if none."""
        keys = self.accounts[name]
        return self._call_with(caller, self._picks.choice(keys))

    def _call_with(self, caller: str, key: str) -> int:
        """Send a request with a key to the next VM, with a body in every other one."""
        number = next(self._numbers)
        vm = self._site.vms[number % len(self._site.vms)]
        method, body = ("POST", b"b") if number % 2 else ("GET", None)
        headers = {"Authorization": f"Token {key}"}
        sent_at = time.monotonic()
        status = 0
        with contextlib.suppress(OSError, http.client.HTTPException):
            answer = vm.send_request(method, "/look/a", f"s{number}", body, **headers)
            status = answer[0]
        now = time.monotonic()
        self.ledger.record_call(Call(f"s{number}", caller, key, sent_at, now, status))
        return status

    def add_key(self) -> str:
        """Give an account another key, and use it."""
        name = self._rng.choice(sorted(self.accounts))
        key = self._new_key()
        self.accounts = self.accounts | {name: [*self.accounts[name], key]}
        self._configure()
        return name

    def move_key(self) -> str:
        """Move a key to another account; its former callers go on with it."""
        source, target = self._rng.sample(USUAL, 2)
        key = self._rng.choice(self.accounts[source])
        kept = [k for k in self.accounts[source] if k != key] or [self._new_key()]
        moved = [*self.accounts[target], key]
        self.accounts = self.accounts | {source: kept, target: moved}
        self._configure()
        return f"{source} to {target}"

    def revoke_key(self) -> str:
        """Replace a key; some callers go on with the old one for a time."""
        name = self._rng.choice(USUAL)
        key = self._rng.choice(self.accounts[name])
        kept = [k for k in self.accounts[name] if k != key]
        self.accounts = self.accounts | {name: [*kept, self._new_key()]}
        self._configure()
        self._spawn(self._call_revoked, key)
        return name

    def _call_revoked(self, key: str) -> None:
        for _ in range(10):
            self._call_with("revoked", key)
            time.sleep(IN_FORCE_S / 5)

    def exceed_cap(self) -> str:
        """Let the capped account ask for several times its cap."""
        rate_per_s = CAPS[CAPPED][0] * 3
        self._call_evenly("over the cap", CAPPED, rate_per_s, BURST_S)
        return CAPPED

    def multiply_demand(self) -> str:
        """Let an account ask for several times its usual demand."""
        self._call_evenly("burst", LOUD, LOUD_FACTOR * USUAL_PER_S, BURST_S)
        return LOUD

    def read_slowly(self) -> str:
        """Let callers of an account request streams and read nothing for a time."""
        name = self._rng.choice(USUAL)
        vm = self._rng.choice(self._site.vms)
        for runner in self._site.models:
            runner.event_bytes = EVENT_BYTES
        with contextlib.ExitStack() as stack:
            for _ in range(SLOW_READERS):
                stack.enter_context(self._open_stream(vm, self.accounts[name][0]))
            time.sleep(BURST_S)
        return f"{name} at {vm.name}"

    def _open_stream(self, vm: EntryVm, key: str) -> socket.socket:
        number = next(self._numbers)
        own = request_headers(
            f"s{number}",
            Authorization=f"Token {key}",
            X_Gooseberryrun_Model=f"{MODEL}/a1",
            Content_Length="1",
        )
        lines = [f"{name}: {value}" for name, value in own.items()]
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.settimeout(10)
        sock.connect(("127.0.0.1", vm.port))
        head = "\r\n".join(["POST /chat/1 HTTP/1.1", *lines, "", ""])
        now = time.monotonic()
        sock.sendall(head.encode() + b"p")
        # The answer is not read, so nothing is known but that it may come until then.
        until = now + BURST_S + 4.0
        self.ledger.record_call(Call(f"s{number}", "slow", key, now, until, 0))
        return sock

    def kill_vm(self) -> str:
        """Kill a VM and start it again."""
        vm = self._rng.choice(self._site.vms)
        vm.kill()
        vm.restart()
        wait_for(vm.is_ready, f"{vm.name} ready")
        return vm.name

    def run(self, seconds: float) -> list[str]:
        """Run all actions in a random order, then more; return what is broken."""
        deadline = time.monotonic() + seconds
        due = self._rng.sample(self.actions, len(self.actions))
        broken: list[str] = []
        self.start()
        while not broken and (due or time.monotonic() < deadline):
            action = due.pop() if due else self._rng.choice(self.actions)
            click.echo(f"{action.__name__}: {action()}")
            time.sleep(self._rng.uniform(0.2, 1.0))
            broken = self.ledger.broken_rules()
        self.stop()
        return self.ledger.broken_rules() + self._keys_in_logs()

    def _keys_in_logs(self) -> list[str]:
        """Return the VMs in whose logs a key is."""
        return [
            f"{vm.name}: a key is in the log"
            for vm in self._site.vms
            if any(key in vm.log.read_text() for key in self.ledger.owners)
        ]


def run_soak(folder: Path, seed: int, seconds: float) -> list[str]:
    """Run the soak on a new site; return the broken rules."""
    site = Site(folder, vms=3)
    try:
        site.wait_for_members()
        soak = AccountSoak(site, seed)
        broken = soak.run(seconds)
        calls = soak.ledger.calls
        click.echo(f"{len(calls)} calls, {len(soak.ledger.runs)} runs")
        for account, share in sorted(soak.ledger.served_shares().items()):
            click.echo(f"{account}: {share:.3f} served")
        for caller, counts in sorted(soak.ledger.statuses().items()):
            shown = " ".join(f"{n} x {status}" for status, n in sorted(counts.items()))
            click.echo(f"{caller}: {shown}")
        return broken
    finally:
        site.close()


@click.command()
@click.option("--seed", type=int, default=None, help="Random if not given.")
@click.option("--minutes", type=float, default=2.0)
def main(seed: int | None, minutes: float) -> None:
    """Run random changes and loads of client accounts."""
    seed = seed if seed is not None else random.SystemRandom().randrange(10**6)
    click.echo(f"seed {seed}")
    with tempfile.TemporaryDirectory() as folder:
        broken = run_soak(Path(folder), seed, minutes * 60)
    for line in broken[:20]:
        click.echo(f"BROKEN: {line}")
    click.echo(f"seed {seed}: " + ("BROKEN" if broken else "all rules held"))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
