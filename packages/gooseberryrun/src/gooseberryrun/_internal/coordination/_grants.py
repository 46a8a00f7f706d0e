"""Entry VM's side of grants: asking owners, renewing and ending."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass

import eventlet
from eventlet.event import Event
from eventlet.timeout import Timeout
from result import Err, Ok, Result

from gooseberryrun._internal.state import Clock, FencingNumber, Ownership, Settings

from ._errors import PeerError
from ._leases import Leases
from ._membership import Membership
from ._messages import (
    GrantAnswer,
    GrantEnd,
    GrantRequest,
    GrantUse,
    OwnerNotice,
    UseQuery,
    UseRenewal,
    UseRenewed,
    UseReport,
)
from ._owner import Owner
from ._ports import Peers
from ._replica import Replica
from ._tasks import spawn

END_BATCH_S = 0.01
"""Time for which ends of grants are gathered into one message."""
RENEWALS_PER_LEASE = 4


@dataclass(slots=True)
class HeldGrant:
    """Grant in use by this VM; ``deadline`` is the monotonic end of its lease."""

    use: GrantUse
    runner: str
    owner: str
    fencing: FencingNumber
    deadline: float
    load_wait_s: float
    not_resident: bool = False


class Grants:
    """Grants that this VM holds."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        membership: Membership,
        replica: Replica,
        leases: Leases,
        owner: Owner,
        peers: Peers,
        boot: str,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._replica = replica
        self._leases = leases
        self._owner = owner
        self._peers = peers
        self._boot = boot
        self._held: dict[str, HeldGrant] = {}
        self._ends: dict[tuple[str, str], list[str]] = defaultdict(list)
        self._stale_books: set[tuple[str, str]] = set()
        owner.on_query = self.take_query

    def held(self) -> list[HeldGrant]:
        """Return the grants in use."""
        return list(self._held.values())

    # Asking.

    def ask(
        self, request: GrantRequest, owner: str, deadline: float
    ) -> Result[GrantAnswer, PeerError]:
        """Ask one VM for a grant; a grant that comes back is held."""
        asked_at = self._clock.monotonic()
        if owner == self._cfg.vm.id:
            reply = self._ask_self(request, deadline)
        else:
            reply = self._ask_peer(request, owner, deadline)
        if isinstance(reply, Err):
            return reply
        answer = reply.ok_value
        if answer.verdict == "granted":
            self._hold(request, owner, answer, asked_at)
        elif answer.owner is not None:
            self._learn(answer.owner)
        return Ok(answer)

    def _ask_self(
        self, request: GrantRequest, deadline: float
    ) -> Result[GrantAnswer, PeerError]:
        answered: Event = Event()

        def reply(answer: GrantAnswer) -> None:
            if answered.ready():
                self._give_back(answer, self._cfg.vm.id)
            else:
                answered.send(answer)

        self._owner.take_request(request, reply)
        left_s = max(0.0, deadline - self._clock.monotonic())
        with Timeout(left_s, False):
            answer: GrantAnswer = answered.wait()
            return Ok(answer)
        if not answered.ready():
            answered.send(None)
        return Err(PeerError(self._cfg.vm.id, "no grant in time"))

    def _ask_peer(
        self, request: GrantRequest, owner: str, deadline: float
    ) -> Result[GrantAnswer, PeerError]:
        reply = self._peers.ask(owner, request, deadline)
        if isinstance(reply, Err):
            return reply
        if not isinstance(reply.ok_value, GrantAnswer):
            return Err(PeerError(owner, "unexpected answer"))
        return Ok(reply.ok_value)

    def take_late_answer(self, sender: str, answer: GrantAnswer) -> None:
        """Give back a grant whose request no longer waits for it."""
        self._give_back(answer, sender)

    def _give_back(self, answer: GrantAnswer, owner: str) -> None:
        if answer.verdict == "granted":
            self._send_end(owner, answer.runner, answer.grant_id)

    def _hold(
        self, request: GrantRequest, owner: str, answer: GrantAnswer, asked_at: float
    ) -> None:
        use = GrantUse(
            runner=answer.runner,
            grant_id=answer.grant_id,
            request_id=request.request_id,
            model=request.model,
            vm=request.vm,
            boot=request.boot,
            work_class=request.work_class,
            fingerprint=request.fingerprint,
            suspect=request.suspect,
        )
        deadline = asked_at + answer.waited_s + answer.lease_s
        self._held[answer.grant_id] = HeldGrant(
            use, answer.runner, owner, answer.fencing, deadline, answer.load_wait_s
        )

    def _learn(self, notice: OwnerNotice) -> None:
        if notice.vm == self._cfg.vm.id:
            return
        from_notice = _to_ownership(notice)
        self._leases.learn_owner(notice.runner, from_notice)

    # Using.

    def left_s(self, grant_id: str) -> float:
        """Return the seconds for which a grant may still be used."""
        held = self._held.get(grant_id)
        if held is None:
            return 0.0
        return held.deadline - self._clock.monotonic()

    def end(self, grant_id: str) -> None:
        """End a grant; its owner learns of it within milliseconds."""
        held = self._held.pop(grant_id, None)
        if held is not None:
            self._send_end(held.owner, held.runner, grant_id, held.not_resident)

    def note_not_resident(self, grant_id: str) -> None:
        """Let the end of a grant say that the engine lacked its adapter."""
        held = self._held.get(grant_id)
        if held is not None:
            held.not_resident = True

    def _send_end(
        self, owner: str, runner: str, grant_id: str, not_resident: bool = False
    ) -> None:
        if owner == self._cfg.vm.id:
            self._owner.take_end(GrantEnd(runner, [grant_id], not_resident))
            return
        if not_resident:
            self._stale_books.add((owner, runner))
        waiting = self._ends[(owner, runner)]
        waiting.append(grant_id)
        if len(waiting) == 1:
            eventlet.spawn_after(END_BATCH_S, self._flush_ends, owner, runner)

    def _flush_ends(self, owner: str, runner: str) -> None:
        grant_ids = self._ends.pop((owner, runner), [])
        not_resident = (owner, runner) in self._stale_books
        self._stale_books.discard((owner, runner))
        if grant_ids:
            self._peers.send_to(owner, GrantEnd(runner, grant_ids, not_resident))

    # Renewing.

    def renew(self) -> None:
        """Renew the grants of each owner with one message."""
        self._follow_owners()
        for owner in {held.owner for held in self._held.values()}:
            spawn("renew", lambda owner=owner: self._renew_with(owner))  # type: ignore[misc]

    def _renew_with(self, owner: str) -> None:
        sent_at = self._clock.monotonic()
        counts = Counter(
            held.runner for held in self._held.values() if held.owner == owner
        )
        renewal = UseRenewal(self._cfg.vm.id, self._boot, dict(counts))
        if owner == self._cfg.vm.id:
            self._extend(self._owner.take_renewal(renewal), sent_at)
            return
        deadline = sent_at + self._cfg.lease.grant_s / RENEWALS_PER_LEASE
        reply = self._peers.ask(owner, renewal, deadline)
        if not isinstance(reply, Err) and isinstance(reply.ok_value, UseRenewed):
            self._extend(reply.ok_value, sent_at)

    def _extend(self, renewed: UseRenewed, sent_at: float) -> None:
        deadline = sent_at + self._cfg.lease.grant_s
        for held in self._held.values():
            if held.owner == renewed.vm and held.runner in renewed.runners:
                held.deadline = max(held.deadline, deadline)

    def _follow_owners(self) -> None:
        """Report the grants on runners that have a new owner to it."""
        moved: dict[str, list[str]] = defaultdict(list)
        for runner in {held.runner for held in self._held.values()}:
            owner = self._replica.owners.get(runner)
            owners = {h.owner for h in self._held.values() if h.runner == runner}
            if owner is not None and owners != {owner.vm}:
                moved[owner.vm].append(runner)
        for vm, runners in moved.items():
            self._report(vm, runners)

    def take_query(self, query: UseQuery) -> None:
        """Tell a new owner what is in use on its runners, even if nothing is."""
        for notice in query.notices:
            self._leases.learn_owner(notice.runner, _to_ownership(notice))
            self._report(notice.vm, query.runners)

    def _report(self, vm: str, runners: list[str]) -> None:
        held = [held for held in self._held.values() if held.runner in runners]
        report = UseReport(
            self._cfg.vm.id, self._boot, runners, [one.use for one in held]
        )
        for one in held:
            one.owner = vm
        if vm == self._cfg.vm.id:
            self._owner.take_report(report)
        else:
            spawn("use-report", lambda: self._send_report(vm, report))

    def _send_report(self, vm: str, report: UseReport) -> None:
        sent_at = self._clock.monotonic()
        deadline = sent_at + self._cfg.platform.timeout_s
        reply = self._peers.ask(vm, report, deadline)
        if not isinstance(reply, Err) and isinstance(reply.ok_value, UseRenewed):
            self._extend(reply.ok_value, sent_at)


def _to_ownership(notice: OwnerNotice) -> Ownership:
    return Ownership(notice.vm, notice.boot, notice.fencing)
