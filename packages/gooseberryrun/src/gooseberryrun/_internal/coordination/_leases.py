"""Leases of runners: claims in the log, promises of the domain's voters.

The log orders claims and gives the fencing number. A lease is in force while a
majority of the domain's voters have promised it, so it needs no append to renew and
goes on while the log is away.
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
"""Heartbeats whose acknowledgement may still be counted."""


@dataclass(frozen=True, slots=True)
class _Sent:
    at: float
    epoch: int


@dataclass(frozen=True, slots=True)
class _Vote:
    at: float
    epoch: int
    refused: frozenset[str]


class Leases:
    """Claims and renews the leases of this VM, and votes on those of others."""

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
        self._promises = LeaseVoteState(hold_s, clock.monotonic() + hold_s)
        self._owned: dict[str, FencingNumber] = {}
        self._since_epoch: dict[str, int] = {}
        self._epoch = 0
        self._seq = 0
        self._sent: OrderedDict[int, _Sent] = OrderedDict()
        self._votes: dict[str, _Vote] = {}
        self._peer_epochs: dict[tuple[str, str], tuple[int, dict[str, FencingNumber]]]
        self._peer_epochs = {}
        self._claiming = False
        self.on_gain: Callable[[str, FencingNumber], None]
        self.on_gain = lambda runner, fencing: None
        self.on_lose: Callable[[str, Ownership], None] = lambda runner, owner: None

    # Views.

    def owned(self) -> dict[str, FencingNumber]:
        """Return the runners that this VM owns, with or without a lease in force."""
        return self._owned

    def deadline(self, runner: str) -> float:
        """Return the monotonic time at which the lease of a runner lapses."""
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
        """Tell whether the lease is in force, under ``fencing`` if given."""
        if fencing is not None and self._owned.get(runner) != fencing:
            return False
        return self._clock.monotonic() < self.deadline(runner)

    def _voted_at(self, voter: str, runner: str) -> float:
        vote = self._votes.get(voter)
        if vote is None or runner in vote.refused:
            return float("-inf")
        if vote.epoch < self._since_epoch.get(runner, 0):
            return float("-inf")
        return vote.at

    # Claiming.

    def tick(self) -> None:
        """Claim what this VM should own, then renew what it owns."""
        if not self._membership.leaving and not self._claiming:
            runners = self._runners_to_claim()
            if runners:
                self._claiming = True
                spawn("claim", lambda: self._claim(runners))
        self._renew()
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
        if owner is not None and not self._is_owner_gone(owner, candidates):
            return False
        return top_node(runner, candidates) == self._cfg.vm.id

    def _is_owner_gone(self, owner: Ownership, candidates: list[str]) -> bool:
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
        """Extend the last known number; rank keeps two successors apart."""
        domain_vms = self._membership.entry_vms(self._cfg.vm.domain)
        rank = domain_vms.index(self._cfg.vm.id) + 1
        for runner in runners:
            known = self._replica.owners.get(runner)
            last = known.fencing if known is not None else FencingNumber()
            fencing = FencingNumber(last.offset, last.takeovers + 1, rank)
            ownership = Ownership(self._cfg.vm.id, self._boot, fencing)
            log_event("claimed_without_log", runner=runner, fencing=fencing)
            self.learn_owner(runner, ownership)

    def learn_owner(self, runner: str, ownership: Ownership) -> None:
        """Take a claim from a peer or from this VM while the log is away."""
        if self._replica.owners.update_owner(runner, ownership):
            self.owner_changed(runner)

    def owner_changed(self, runner: str) -> None:
        """React to a new highest claim of a runner."""
        owner = self._replica.owners.get(runner)
        check_invariant(owner is not None, "owner-known", runner)
        assert owner is not None
        if owner.vm == self._cfg.vm.id and owner.boot == self._boot:
            self._gain(runner, owner)
        elif runner in self._owned:
            self._lose(runner, owner)

    def _gain(self, runner: str, owner: Ownership) -> None:
        known = self._owned.get(runner)
        check_invariant(
            known is None or known <= owner.fencing, "fencing-monotonic", runner
        )
        self._owned[runner] = owner.fencing
        self._bump_epoch()
        if known is not None:
            return
        self._since_epoch[runner] = self._epoch
        TAKEOVERS.labels(cause="claim").inc()
        log_event("runner_gained", runner=runner, fencing=owner.fencing)
        self.on_gain(runner, owner.fencing)

    def _lose(self, runner: str, owner: Ownership) -> None:
        del self._owned[runner]
        self._since_epoch.pop(runner, None)
        self._bump_epoch()
        log_event("runner_lost", runner=runner, to=owner.vm, fencing=owner.fencing)
        self.on_lose(runner, owner)
        self._release([runner])

    def _release(self, runners: list[str]) -> None:
        release = LeaseRelease(self._cfg.vm.id, self._boot, runners)
        self.take_release(release)
        for voter in self._membership.voters():
            if voter != self._cfg.vm.id:
                self._peers.tell(voter, release)

    def _bump_epoch(self) -> None:
        self._epoch += 1

    # Renewing.

    def _renew(self) -> None:
        now = self._clock.monotonic()
        self._seq += 1
        self._sent[self._seq] = _Sent(now, self._epoch)
        if len(self._sent) > MAX_PENDING_HEARTBEATS:
            self._sent.popitem(last=False)
        for voter in self._membership.voters():
            if voter == self._cfg.vm.id:
                self._vote_for_self(now)
            else:
                self._peers.tell(voter, self._heartbeat(voter))

    def _vote_for_self(self, now: float) -> None:
        me = self._cfg.vm.id
        refused = [
            runner
            for runner, fencing in self._owned.items()
            if not self._promises.request(runner, me, self._boot, fencing, now)
        ]
        self._votes[me] = _Vote(now, self._epoch, frozenset(refused))

    def _heartbeat(self, voter: str) -> Heartbeat:
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

    def take_ack(self, ack: HeartbeatAck) -> None:
        """Count the promises of a voter from the time the heartbeat was sent."""
        self._membership.hear(ack.vm, ack.boot, ack.leaving)
        self._membership.take_vote(ack.vm, ack.silent)
        self._membership.take_notices(ack.notices)
        sent = self._sent.get(ack.seq)
        if sent is None:
            return
        if ack.unknown_epoch:
            self._votes.pop(ack.vm, None)
            return
        vote = self._votes.get(ack.vm)
        if vote is None or sent.at >= vote.at:
            self._votes[ack.vm] = _Vote(sent.at, sent.epoch, frozenset(ack.refused))

    # Voting.

    def take_heartbeat(self, beat: Heartbeat) -> HeartbeatAck:
        """Promise the runners of a heartbeat and return the answer."""
        self._membership.hear(beat.vm, beat.boot, beat.leaving)
        self._membership.take_notices(beat.notices)
        fencing = self._fencing_of(beat)
        refused = [] if fencing is None else self._promise(beat, fencing)
        return HeartbeatAck(
            vm=self._cfg.vm.id,
            boot=self._boot,
            seq=beat.seq,
            refused=refused,
            silent=self._membership.silent(),
            unknown_epoch=fencing is None,
            leaving=self._membership.leaving,
            notices=self._membership.leaving_notices(),
        )

    def _fencing_of(self, beat: Heartbeat) -> dict[str, FencingNumber] | None:
        key = (beat.vm, beat.boot)
        if beat.lease.fencing is not None:
            self._peer_epochs = {
                known: value
                for known, value in self._peer_epochs.items()
                if known[0] != beat.vm
            }
            self._peer_epochs[key] = (beat.lease.epoch, beat.lease.fencing)
            return beat.lease.fencing
        epoch, fencing = self._peer_epochs.get(key, (-1, {}))
        return fencing if epoch == beat.lease.epoch else None

    def _promise(self, beat: Heartbeat, fencing: dict[str, FencingNumber]) -> list[str]:
        now = self._clock.monotonic()
        refused = []
        for runner, number in fencing.items():
            known = self._replica.owners.get(runner)
            if known is not None and known.fencing > number:
                refused.append(runner)
            elif self._promises.request(runner, beat.vm, beat.boot, number, now):
                self.learn_owner(runner, Ownership(beat.vm, beat.boot, number))
            else:
                refused.append(runner)
        return refused

    def take_release(self, release: LeaseRelease) -> None:
        """End promises that their holder gives back."""
        for runner in release.runners:
            self._promises.release(runner, release.vm, release.boot)
