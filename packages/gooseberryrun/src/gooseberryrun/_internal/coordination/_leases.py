"""Ownership leases of runners: claims in the log, votes by the domain's voters.

The log orders claims and gives the fencing number. A lease is in force while a
majority of the domain's voters vote for it, so renewing needs no append and
continues while the log is unreachable.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from gooseberryrun._internal.state import (
    OWNERS_STREAM,
    Clock,
    FencingNumber,
    LeaseVoteState,
    OwnerClaim,
    Ownership,
    Settings,
    check_invariant,
    top_node,
)

from ._appender import Appender
from ._events import log_event
from ._membership import Membership
from ._messages import Heartbeat, HeartbeatAck, LeaseRelease, LeaseRequest
from ._metrics import LEASES, TAKEOVERS
from ._ports import Peers
from ._replica import Replica
from ._tasks import spawn

MAX_PENDING_HEARTBEATS = 64
"""Sent heartbeats for which an acknowledgement is still accepted."""


@dataclass(frozen=True, slots=True)
class _SentHeartbeat:
    at: float
    epoch: int


@dataclass(frozen=True, slots=True)
class _ReceivedVote:
    at: float
    epoch: int
    refused: frozenset[str]


class Leases:
    """Claims and renews the leases of this VM, and votes on those of other VMs."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        membership: Membership,
        replica: Replica,
        appender: Appender,
        peers: Peers,
        boot: str,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._replica = replica
        self._appender = appender
        self._peers = peers
        self._boot = boot
        hold_s = cfg.lease.duration_s + cfg.lease.margin_s
        self._own_votes = LeaseVoteState(hold_s, clock.monotonic() + hold_s)
        self._owned: dict[str, FencingNumber] = {}
        self._owned_since_epoch: dict[str, int] = {}
        self._epoch = 0
        self._seq = 0
        self._sent_heartbeats: OrderedDict[int, _SentHeartbeat] = OrderedDict()
        self._votes: dict[str, _ReceivedVote] = {}
        self._peer_epochs: dict[tuple[str, str], tuple[int, dict[str, FencingNumber]]]
        self._peer_epochs = {}
        self._claiming = False
        self.on_ownership_gained: Callable[[str, FencingNumber], None]
        self.on_ownership_gained = lambda runner, fencing: None
        self.on_ownership_lost: Callable[[str, Ownership], None] = (
            lambda runner, owner: None
        )

    def owned(self) -> dict[str, FencingNumber]:
        """Return the fencing numbers of the runners that this VM owns.

        The lease of a runner among them may have expired.
        """
        return self._owned

    def deadline(self, runner: str) -> float:
        """Return the monotonic time at which the lease of a runner expires."""
        if runner not in self._owned:
            return float("-inf")
        voters = self._membership.voters()
        needed = len(voters) // 2 + 1
        times = sorted(
            (self._voted_at(voter, runner) for voter in voters), reverse=True
        )
        if len(times) < needed:
            return float("-inf")
        return times[needed - 1] + self._cfg.lease.duration_s

    def is_valid(self, runner: str, fencing: FencingNumber | None = None) -> bool:
        """Return whether the lease is in force, under ``fencing`` if given."""
        if fencing is not None and self._owned.get(runner) != fencing:
            return False
        return self._clock.monotonic() < self.deadline(runner)

    def _voted_at(self, voter: str, runner: str) -> float:
        vote = self._votes.get(voter)
        if vote is None or runner in vote.refused:
            return float("-inf")
        if vote.epoch < self._owned_since_epoch.get(runner, 0):
            return float("-inf")
        return vote.at

    def tick(self) -> None:
        """Claim the runners that this VM should own, then renew its leases."""
        if not self._membership.leaving and not self._claiming:
            runners = self._runners_to_claim()
            if runners:
                self._claiming = True
                spawn("claim", lambda: self._claim(runners))
        self._send_heartbeats()
        LEASES.set(sum(self.is_valid(runner) for runner in self._owned))

    def _runners_to_claim(self) -> list[str]:
        age_s = self._clock.monotonic() - self._membership.started_at
        if not self._replica.is_ready() or age_s < self._cfg.peer.dead_after_s:
            return []
        candidates = self._membership.live_domain_vms()
        return [
            engine.id
            for engine in self._membership.domain_engines()
            if self._should_claim(engine.id, candidates)
        ]

    def _should_claim(self, runner: str, candidates: list[str]) -> bool:
        owner = self._replica.owners.get(runner)
        if owner is not None and not self._has_owner_ended(owner, candidates):
            return False
        return top_node(runner, candidates) == self._cfg.vm.id

    def _has_owner_ended(self, owner: Ownership, candidates: list[str]) -> bool:
        if owner.vm not in candidates:
            return True
        boot = self._membership.boot_of(owner.vm)
        return boot is not None and boot != owner.boot

    def _claim(self, runners: list[str]) -> None:
        try:
            claim = OwnerClaim(
                self._cfg.vm.id, self._boot, self._cfg.vm.domain, runners
            )
            deadline = self._clock.monotonic() + self._cfg.platform.timeout_s
            appended = self._appender.append(claim, deadline)
            if not isinstance(appended, Err):
                self._replica.waiters.wait(
                    f"runner:{runners[-1]}",
                    lambda: self._is_claim_read(runners),
                    deadline,
                )
            elif not self._replica.is_log_reachable(OWNERS_STREAM):
                self._claim_without_log(runners)
        finally:
            self._claiming = False

    def _is_claim_read(self, runners: list[str]) -> bool | None:
        owners = [self._replica.owners.get(runner) for runner in runners]
        read = all(owner is not None and owner.boot == self._boot for owner in owners)
        return True if read else None

    def _claim_without_log(self, runners: list[str]) -> None:
        """Claim under fencing numbers derived from the last known ones.

        The VM's rank in its domain makes the numbers of two successors differ.
        """
        domain_vms = self._membership.entry_vms(self._cfg.vm.domain)
        rank = domain_vms.index(self._cfg.vm.id) + 1
        for runner in runners:
            known = self._replica.owners.get(runner)
            last = known.fencing if known is not None else FencingNumber()
            fencing = FencingNumber(last.offset, last.takeovers + 1, rank)
            ownership = Ownership(self._cfg.vm.id, self._boot, fencing)
            log_event("claimed_without_log", runner=runner, fencing=fencing)
            self.record_owner(runner, ownership)

    def record_owner(self, runner: str, ownership: Ownership) -> None:
        """Record a claim that a peer sent, or that this VM made without the log."""
        if self._replica.owners.update_owner(runner, ownership):
            self.handle_owner_change(runner)

    def handle_owner_change(self, runner: str) -> None:
        """Gain or lose a runner for which a claim with a higher number was recorded."""
        owner = self._replica.owners.get(runner)
        check_invariant(owner is not None, "owner-known", runner)
        assert owner is not None
        if owner.vm == self._cfg.vm.id and owner.boot == self._boot:
            self._record_gained(runner, owner)
        elif runner in self._owned:
            self._record_lost(runner, owner)

    def _record_gained(self, runner: str, owner: Ownership) -> None:
        known = self._owned.get(runner)
        check_invariant(
            known is None or known <= owner.fencing, "fencing-monotonic", runner
        )
        self._owned[runner] = owner.fencing
        self._bump_epoch()
        if known is not None:
            return
        self._owned_since_epoch[runner] = self._epoch
        TAKEOVERS.labels(cause="claim").inc()
        log_event("runner_gained", runner=runner, fencing=owner.fencing)
        self.on_ownership_gained(runner, owner.fencing)

    def _record_lost(self, runner: str, owner: Ownership) -> None:
        del self._owned[runner]
        self._owned_since_epoch.pop(runner, None)
        self._bump_epoch()
        log_event("runner_lost", runner=runner, to=owner.vm, fencing=owner.fencing)
        self.on_ownership_lost(runner, owner)
        self._release([runner])

    def _release(self, runners: list[str]) -> None:
        release = LeaseRelease(self._cfg.vm.id, self._boot, runners)
        self.handle_release(release)
        for voter in self._membership.voters():
            if voter != self._cfg.vm.id:
                self._peers.send_to(voter, release)

    def _bump_epoch(self) -> None:
        self._epoch += 1

    def _send_heartbeats(self) -> None:
        now = self._clock.monotonic()
        self._seq += 1
        self._sent_heartbeats[self._seq] = _SentHeartbeat(now, self._epoch)
        if len(self._sent_heartbeats) > MAX_PENDING_HEARTBEATS:
            self._sent_heartbeats.popitem(last=False)
        for voter in self._membership.voters():
            if voter == self._cfg.vm.id:
                self._vote_for_own_runners(now)
            else:
                self._peers.send_to(voter, self._make_heartbeat(voter))

    def _vote_for_own_runners(self, now: float) -> None:
        vm_id = self._cfg.vm.id
        refused = [
            runner
            for runner, fencing in self._owned.items()
            if not self._own_votes.request(runner, vm_id, self._boot, fencing, now)
        ]
        self._votes[vm_id] = _ReceivedVote(now, self._epoch, frozenset(refused))

    def _make_heartbeat(self, voter: str) -> Heartbeat:
        vote = self._votes.get(voter)
        known = vote is not None and vote.epoch == self._epoch
        lease = LeaseRequest(self._epoch, None if known else dict(self._owned))
        return Heartbeat(
            vm=self._cfg.vm.id,
            boot=self._boot,
            seq=self._seq,
            leaving=self._membership.leaving,
            lease=lease,
            notices=self._membership.leaving_notices(),
        )

    def handle_ack(self, ack: HeartbeatAck) -> None:
        """Record a voter's votes, valid from when the heartbeat was sent."""
        self._membership.record_contact(ack.vm, ack.boot, ack.leaving)
        self._membership.record_unresponsive_vote(ack.vm, ack.unresponsive)
        self._membership.record_leaving_notices(ack.notices)
        sent = self._sent_heartbeats.get(ack.seq)
        if sent is None:
            return
        if ack.unknown_epoch:
            self._votes.pop(ack.vm, None)
            return
        vote = self._votes.get(ack.vm)
        if vote is None or sent.at >= vote.at:
            self._votes[ack.vm] = _ReceivedVote(
                sent.at, sent.epoch, frozenset(ack.refused)
            )

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatAck:
        """Vote on the runners listed in a heartbeat and return the acknowledgement."""
        self._membership.record_contact(heartbeat.vm, heartbeat.boot, heartbeat.leaving)
        self._membership.record_leaving_notices(heartbeat.notices)
        fencing = self._requested_fencing(heartbeat)
        refused = [] if fencing is None else self._vote_on_runners(heartbeat, fencing)
        return HeartbeatAck(
            vm=self._cfg.vm.id,
            boot=self._boot,
            seq=heartbeat.seq,
            refused=refused,
            unresponsive=self._membership.unresponsive(),
            unknown_epoch=fencing is None,
            leaving=self._membership.leaving,
            notices=self._membership.leaving_notices(),
        )

    def _requested_fencing(
        self, heartbeat: Heartbeat
    ) -> dict[str, FencingNumber] | None:
        key = (heartbeat.vm, heartbeat.boot)
        if heartbeat.lease.fencing is not None:
            self._peer_epochs = {
                known: value
                for known, value in self._peer_epochs.items()
                if known[0] != heartbeat.vm
            }
            self._peer_epochs[key] = (heartbeat.lease.epoch, heartbeat.lease.fencing)
            return heartbeat.lease.fencing
        epoch, fencing = self._peer_epochs.get(key, (-1, {}))
        return fencing if epoch == heartbeat.lease.epoch else None

    def _vote_on_runners(
        self, heartbeat: Heartbeat, fencing: dict[str, FencingNumber]
    ) -> list[str]:
        now = self._clock.monotonic()
        refused = []
        for runner, number in fencing.items():
            known = self._replica.owners.get(runner)
            if known is not None and known.fencing > number:
                refused.append(runner)
            elif self._own_votes.request(
                runner, heartbeat.vm, heartbeat.boot, number, now
            ):
                self.record_owner(
                    runner, Ownership(heartbeat.vm, heartbeat.boot, number)
                )
            else:
                refused.append(runner)
        return refused

    def handle_release(self, release: LeaseRelease) -> None:
        """End the votes for an owner that releases its runners."""
        for runner in release.runners:
            self._own_votes.release(runner, release.vm, release.boot)
