"""Entry VM's side of grants: requesting them from owners, renewing and ending."""

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
"""Time over which ends of grants are collected into one message."""
RENEWALS_PER_LEASE = 4
"""Renewals sent within the duration of one grant lease."""


@dataclass(slots=True)
class HeldGrant:
    """Grant in use by this VM; its lease ends at ``deadline``, in monotonic seconds."""

    use: GrantUse
    runner: str
    owner: str
    fencing: FencingNumber
    deadline: float
    load_wait_s: float
    not_resident: bool = False


class Grants:
    """Requests, renews and ends the grants that this VM holds."""

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
        self._stale_residency: set[tuple[str, str]] = set()
        owner.on_query = self.handle_use_query

    def held(self) -> list[HeldGrant]:
        """Return the grants in use."""
        return list(self._held.values())

    def request_grant(
        self, request: GrantRequest, owner: str, deadline: float
    ) -> Result[GrantAnswer, PeerError]:
        """Request a grant from one VM and hold it if it is granted."""
        requested_at = self._clock.monotonic()
        if owner == self._cfg.vm.id:
            reply = self._request_from_self(request, deadline)
        else:
            reply = self._request_from_peer(request, owner, deadline)
        if isinstance(reply, Err):
            return reply
        answer = reply.ok_value
        if answer.decision == "granted":
            self._record_grant(request, owner, answer, requested_at)
        elif answer.owner is not None:
            self._record_owner(answer.owner)
        return Ok(answer)

    def _request_from_self(
        self, request: GrantRequest, deadline: float
    ) -> Result[GrantAnswer, PeerError]:
        answered: Event = Event()

        def reply(answer: GrantAnswer) -> None:
            if answered.ready():
                self._return_grant(answer, self._cfg.vm.id)
            else:
                answered.send(answer)

        self._owner.handle_grant_request(request, reply)
        left_s = max(0.0, deadline - self._clock.monotonic())
        with Timeout(left_s, False):
            answer: GrantAnswer = answered.wait()
            return Ok(answer)
        if not answered.ready():
            answered.send(None)
        return Err(PeerError(self._cfg.vm.id, "no grant before the deadline"))

    def _request_from_peer(
        self, request: GrantRequest, owner: str, deadline: float
    ) -> Result[GrantAnswer, PeerError]:
        reply = self._peers.request_from(owner, request, deadline)
        if isinstance(reply, Err):
            return reply
        if not isinstance(reply.ok_value, GrantAnswer):
            return Err(PeerError(owner, "unexpected reply to a grant request"))
        return Ok(reply.ok_value)

    def handle_late_answer(self, sender: str, answer: GrantAnswer) -> None:
        """Return a grant that arrived after its request stopped waiting."""
        self._return_grant(answer, sender)

    def _return_grant(self, answer: GrantAnswer, owner: str) -> None:
        if answer.decision == "granted":
            self._send_end(owner, answer.runner, answer.grant_id)

    def _record_grant(
        self,
        request: GrantRequest,
        owner: str,
        answer: GrantAnswer,
        requested_at: float,
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
        deadline = requested_at + answer.waited_s + answer.lease_s
        self._held[answer.grant_id] = HeldGrant(
            use, answer.runner, owner, answer.fencing, deadline, answer.load_wait_s
        )

    def _record_owner(self, notice: OwnerNotice) -> None:
        if notice.vm == self._cfg.vm.id:
            return
        from_notice = _to_ownership(notice)
        self._leases.record_owner(notice.runner, from_notice)

    def left_s(self, grant_id: str) -> float:
        """Return the seconds for which a grant may still be used; 0 if not held."""
        held = self._held.get(grant_id)
        if held is None:
            return 0.0
        return held.deadline - self._clock.monotonic()

    def end(self, grant_id: str) -> None:
        """End a grant; its owner is informed after at most ``END_BATCH_S``."""
        held = self._held.pop(grant_id, None)
        if held is not None:
            self._send_end(held.owner, held.runner, grant_id, held.not_resident)

    def record_not_resident(self, grant_id: str) -> None:
        """Mark a grant so that its end reports that the engine lacked the adapter."""
        held = self._held.get(grant_id)
        if held is not None:
            held.not_resident = True

    def _send_end(
        self, owner: str, runner: str, grant_id: str, not_resident: bool = False
    ) -> None:
        if owner == self._cfg.vm.id:
            self._owner.handle_end(GrantEnd(runner, [grant_id], not_resident))
            return
        if not_resident:
            self._stale_residency.add((owner, runner))
        batch = self._ends[(owner, runner)]
        batch.append(grant_id)
        if len(batch) == 1:
            eventlet.spawn_after(END_BATCH_S, self._flush_ends, owner, runner)

    def _flush_ends(self, owner: str, runner: str) -> None:
        grant_ids = self._ends.pop((owner, runner), [])
        not_resident = (owner, runner) in self._stale_residency
        self._stale_residency.discard((owner, runner))
        if grant_ids:
            self._peers.send_to(owner, GrantEnd(runner, grant_ids, not_resident))

    def renew(self) -> None:
        """Renew the grants of each owner with one message."""
        self._report_to_new_owners()
        for owner in {held.owner for held in self._held.values()}:
            spawn("renew", lambda owner=owner: self._renew_with(owner))  # type: ignore[misc]

    def _renew_with(self, owner: str) -> None:
        sent_at = self._clock.monotonic()
        counts = Counter(
            held.runner for held in self._held.values() if held.owner == owner
        )
        renewal = UseRenewal(self._cfg.vm.id, self._boot, dict(counts))
        if owner == self._cfg.vm.id:
            self._extend(self._owner.handle_renewal(renewal), sent_at)
            return
        deadline = sent_at + self._cfg.lease.grant_s / RENEWALS_PER_LEASE
        reply = self._peers.request_from(owner, renewal, deadline)
        if not isinstance(reply, Err) and isinstance(reply.ok_value, UseRenewed):
            self._extend(reply.ok_value, sent_at)

    def _extend(self, renewed: UseRenewed, sent_at: float) -> None:
        deadline = sent_at + self._cfg.lease.grant_s
        for held in self._held.values():
            if held.owner == renewed.vm and held.runner in renewed.runners:
                held.deadline = max(held.deadline, deadline)

    def _report_to_new_owners(self) -> None:
        """Report the grants on runners that changed owner to the new owner."""
        moved: dict[str, list[str]] = defaultdict(list)
        for runner in {held.runner for held in self._held.values()}:
            owner = self._replica.owners.get(runner)
            owners = {
                held_grant.owner
                for held_grant in self._held.values()
                if held_grant.runner == runner
            }
            if owner is not None and owners != {owner.vm}:
                moved[owner.vm].append(runner)
        for vm, runners in moved.items():
            self._report(vm, runners)

    def handle_use_query(self, query: UseQuery) -> None:
        """Report the grants in use on a new owner's runners, even if there are none."""
        for notice in query.notices:
            self._leases.record_owner(notice.runner, _to_ownership(notice))
            self._report(notice.vm, query.runners)

    def _report(self, vm: str, runners: list[str]) -> None:
        grants = [held for held in self._held.values() if held.runner in runners]
        report = UseReport(
            self._cfg.vm.id, self._boot, runners, [grant.use for grant in grants]
        )
        for grant in grants:
            grant.owner = vm
        if vm == self._cfg.vm.id:
            self._owner.handle_use_report(report)
        else:
            spawn("use-report", lambda: self._send_report(vm, report))

    def _send_report(self, vm: str, report: UseReport) -> None:
        sent_at = self._clock.monotonic()
        deadline = sent_at + self._cfg.platform.timeout_s
        reply = self._peers.request_from(vm, report, deadline)
        if not isinstance(reply, Err) and isinstance(reply.ok_value, UseRenewed):
            self._extend(reply.ok_value, sent_at)


def _to_ownership(notice: OwnerNotice) -> Ownership:
    return Ownership(notice.vm, notice.boot, notice.fencing)
