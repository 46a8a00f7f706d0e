"""What callers, an operator and servers saw of client accounts, and rules for it."""

from __future__ import annotations

import threading
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from gooseberry_fakes.platform_runner import PlatformRunner

IN_FORCE_S = 3.0
"""Time within which a configuration that an operator wrote has to be in force."""
WINDOW_S = 8.0
OVERAGE = 1.1
LEAST_SERVED = 0.95
TENANT = "x-gooseberryrun-tenant"


@dataclass(frozen=True, slots=True)
class Run:
    """Request that a backend server ran, with the headers that it got."""

    at: float
    request_id: str
    headers: list[tuple[str, str]]

    @property
    def account(self) -> str:
        """Return the account's name, empty without exactly one."""
        names = [value for name, value in self.headers if name == TENANT]
        return names[0] if len(names) == 1 else ""


@dataclass(frozen=True, slots=True)
class Call:
    """Request of a caller; ``status`` is 0 without an answer."""

    request_id: str
    caller: str
    key: str
    sent_at: float
    answered_at: float
    status: int


class _RecordedRuns(list[str]):
    """Ids of the requests that a server ran; the time of each is recorded."""

    def __init__(self, runner: PlatformRunner, runs: list[Run]) -> None:
        super().__init__()
        self._runner = runner
        self._runs = runs

    def append(self, request_id: str) -> None:
        """Record a request that runs now."""
        headers = self._runner.received[request_id]
        self._runs.append(Run(time.monotonic(), request_id, headers))
        super().append(request_id)


@dataclass
class AccountLedger:
    """All calls and runs, and the account of each key over time.

    ``owners`` are the accounts of a key by the time from which on it was theirs; None
    stands for a key that is not known. ``caps`` are the caps in requests, as the rate
    per second and the burst. ``usual`` are the accounts that are neither over a cap nor
    beyond their usual demand at any time.
    """

    caps: dict[str, tuple[float, float]]
    usual: tuple[str, ...] = ()
    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    owners: dict[str, list[tuple[float, str | None]]] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def watch(self, runner: PlatformRunner) -> None:
        """Record what a backend server runs."""
        runner.ran = _RecordedRuns(runner, self.runs)

    def record_keys(self, accounts: dict[str, list[str]], at: float) -> None:
        """Record the keys of all accounts, as an operator wrote them at a time."""
        known = {key: name for name, keys in accounts.items() for key in keys}
        with self.lock:
            for key in {*self.owners, *known}:
                history = self.owners.setdefault(key, [(float("-inf"), None)])
                if history[-1][1] != known.get(key):
                    history.append((at, known.get(key)))

    def record_call(self, call: Call) -> None:
        """Record a call that has ended."""
        with self.lock:
            self.calls.append(call)

    def possible_owners(self, call: Call) -> set[str | None]:
        """Return the accounts whose key a call may have carried, by what was in force.

        A change takes effect at some time within ``IN_FORCE_S``.
        """
        since = call.sent_at - IN_FORCE_S
        history = self.owners[call.key]
        ends = [at for at, _ in history[1:]] + [float("inf")]
        return {
            owner
            for (at, owner), end in zip(history, ends, strict=True)
            if at <= call.answered_at and end >= since
        }

    def broken_rules(self) -> list[str]:
        """Return what breaks a rule, as sentences without keys."""
        with self.lock:
            calls, runs = list(self.calls), list(self.runs)
        return [
            *self._shown_keys(runs),
            *self._wrong_accounts(calls, runs),
            *self._wrong_statuses(calls),
            *self._exceeded_caps(runs),
            *self._starved(calls),
        ]

    def _shown_keys(self, runs: list[Run]) -> list[str]:
        """Return the runs whose server got a key, or the field of one."""
        found = []
        for run in runs:
            text = " ".join(f"{name}: {value}" for name, value in run.headers)
            has_field = any(name == "authorization" for name, _ in run.headers)
            if has_field or any(key in text for key in self.owners):
                found.append(f"{run.request_id}: a server got the key")
        return found

    def _wrong_accounts(self, calls: list[Call], runs: list[Run]) -> list[str]:
        """Return the runs without the name of an account whose key was sent."""
        by_id = {call.request_id: call for call in calls}
        found = []
        for run in runs:
            call = by_id.get(run.request_id)
            allowed = self.possible_owners(call) if call else {run.account}
            if not run.account or run.account not in allowed:
                found.append(
                    f"{run.request_id}: run as {run.account!r}, allowed {allowed}"
                )
        return found

    def _wrong_statuses(self, calls: list[Call]) -> list[str]:
        """Return wrong refusals of known keys, and answers to unknown ones."""
        found = []
        for call in calls:
            owners = self.possible_owners(call)
            is_wrong = (
                (call.status == 401 and None not in owners)
                or (call.status == 200 and owners == {None})
                or (call.status == 429 and not owners & self.caps.keys())
            )
            if is_wrong:
                found.append(f"{call.request_id}: {call.status} for a key of {owners}")
        return found

    def _exceeded_caps(self, runs: list[Run]) -> list[str]:
        """Return the accounts that all VMs sent on too much of in some window."""
        found = []
        for account, (rate_per_s, burst) in self.caps.items():
            bound = (rate_per_s * WINDOW_S + burst) * OVERAGE
            times = sorted(run.at for run in runs if run.account == account)
            first = 0
            for last, at in enumerate(times):
                while times[first] < at - WINDOW_S:
                    first += 1
                if last - first + 1 > bound:
                    used = last - first + 1
                    found.append(f"{account}: {used} in a window, bound {bound:.1f}")
                    break
        return found

    def statuses(self) -> dict[str, Counter[int]]:
        """Return the numbers of calls by caller and status."""
        found: dict[str, Counter[int]] = defaultdict(Counter)
        for call in self.calls:
            found[call.caller][call.status] += 1
        return found

    def _starved(self, calls: list[Call]) -> list[str]:
        """Return the usual accounts whose calls were not served."""
        return [
            f"{account}: {share:.3f} of the calls served"
            for account, share in self.served_shares(calls).items()
            if share < LEAST_SERVED
        ]

    def served_shares(self, calls: list[Call] | None = None) -> dict[str, float]:
        """Return the share of answered calls with 200, by usual account.

        Not counted are calls whose key was being changed, and those without an answer:
        their VM was killed.
        """
        statuses: dict[str, list[int]] = defaultdict(list)
        for call in self.calls if calls is None else calls:
            owners = self.possible_owners(call)
            is_usual = len(owners) == 1 and owners <= set(self.usual)
            if is_usual and call.status:
                statuses[str(next(iter(owners)))].append(call.status)
        return {
            account: found.count(200) / len(found)
            for account, found in statuses.items()
        }


def accounts_section(
    accounts: dict[str, list[str]], caps: dict[str, tuple[float, float]]
) -> list[dict[str, Any]]:
    """Return the ``tenants`` of a configuration."""
    found: list[dict[str, Any]] = []
    for name, keys in accounts.items():
        account: dict[str, Any] = {"name": name, "api_keys": list(keys)}
        if name in caps:
            rate_per_s, burst = caps[name]
            account |= {"unit": "requests", "rate_per_s": rate_per_s, "burst": burst}
        found.append(account)
    return found
