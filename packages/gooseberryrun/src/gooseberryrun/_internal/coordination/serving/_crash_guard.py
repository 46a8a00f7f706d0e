"""Keeps requests that crash runners away from them, whichever VM they come to."""

from __future__ import annotations

import random
from collections.abc import Iterable

import eventlet
from result import Err

from gooseberryrun._internal.state.serving import (
    Crash,
    Handling,
    Runner,
    Trait,
    Verdict,
)

from .._events import log_event
from .._metrics import CRASH_REPORTS
from .._ports import InboundMessage
from .._serving_messages import (
    EvidenceNotice,
    EvidenceRequest,
)
from .._tasks import spawn, spawn_until_done
from ._active_request import ActiveRequest, LocalResponse
from ._context import Context
from ._evidence_notices import (
    MAX_TRAITS_SENT,
    contradict,
    describe_cleared,
    describe_suspicions,
    has_cleared,
    make_answers,
    make_reports,
    to_crash,
)
from ._kept_suspicions import KeptSuspicions
from ._responses import refusal_until
from ._rewrites import schedule_rewrite

FANOUT = 8
"""Peers that a VM tells at once; each passes on what is new to it."""
START_RETRY_S = 0.3
START_LIMIT_S = 3.0
"""Longest time for which a new VM waits for what others know before it is ready."""
PEER_TIMEOUT_S = 0.5


def suspect_response(
    active: ActiveRequest, verdict: Verdict, now: float
) -> LocalResponse:
    """Return the response to a request that may not go to a runner now."""
    is_refused = verdict.handling is Handling.REFUSED
    reason = "crashes_runners" if is_refused else "suspected_of_crash"
    return refusal_until(active, reason, max(0.1, verdict.retry_at - now))


class CrashGuard:
    """Records crashes and answers, and shares them with the other VMs and the store."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._evidence = ctx.evidence
        self._kept = KeptSuspicions(ctx, self._add_kept_crash)
        self._compared: dict[str, tuple[int, int]] = {}
        self.is_informed = False

    def start(self) -> None:
        """Learn in a green thread what is known already."""
        spawn_until_done("crash_evidence", self._learn)

    def keep_again(self) -> None:
        """Write what the store may have lost, if this VM reads it for its domain."""
        schedule_rewrite(self._ctx, self._keep_all)

    def _keep_all(self) -> None:
        self._kept.keep(list(self._evidence.suspected())[:MAX_TRAITS_SENT])

    def judge(self, active: ActiveRequest, now: float) -> Verdict:
        """Return how a request is handled because of what it may do to runners."""
        verdict = self._evidence.verdict(active.traits, now)
        is_new = active.verdict is None or verdict != active.verdict
        active.verdict = verdict
        if verdict.trait is not None and is_new:
            log_event(
                "request_suspected",
                request=active.metadata.request_id,
                kind=verdict.trait.kind,
                trait=verdict.trait.key,
                crashes=verdict.crashes,
                handling=verdict.handling.name.lower(),
                retry_in_s=max(0.0, verdict.retry_at - now),
            )
        return verdict

    def record_crash(self, active: ActiveRequest, runner: Runner, now: float) -> None:
        """Blame a crash on the traits of a request, and tell others."""
        crash = Crash(runner.id, runner.born_ms, now, active.is_begun)
        log_event(
            "crash_seen",
            request=active.metadata.request_id,
            runner=runner.id,
            born_ms=runner.born_ms,
            is_begun=active.is_begun,
            traits=",".join(f"{trait.kind}:{trait.key}" for trait in active.traits),
        )
        fresh = self._add_crash(active.traits, crash, self._ctx.vm)
        if not fresh:
            return
        reports = make_reports([(trait, crash) for trait in fresh], now)
        self._spread(EvidenceNotice(reports, []))
        self._kept.keep(fresh)

    def record_answer(self, active: ActiveRequest, answered_at: float) -> None:
        """Clear the traits of a request that a living runner began to answer."""
        active.is_answer_recorded = True
        kept = self._kept.worth_keeping(active.traits)
        cleared = self._evidence.record_answer(active.traits, answered_at)
        if not cleared:
            return
        self._log_cleared(cleared, self._ctx.vm)
        now = self._ctx.clock.monotonic()
        self._spread(describe_cleared(self._evidence, cleared, now))
        self._kept.withdraw([trait for trait in cleared if trait in kept])
        self._kept.withdraw_outdated(cleared)

    def _add_crash(
        self, traits: Iterable[Trait], crash: Crash, source: str
    ) -> list[Trait]:
        """Record a crash; log and return the traits for which it is new."""
        fresh = self._evidence.record_crash(traits, crash)
        for trait in fresh:
            crashes = self._evidence.crash_count(trait)
            if not crashes:
                continue
            CRASH_REPORTS.labels(kind=trait.kind).inc()
            log_event(
                "trait_suspected",
                kind=trait.kind,
                trait=trait.key,
                runner=crash.runner,
                crashes=crashes,
                age_s=self._ctx.clock.monotonic() - crash.at,
                source=source,
            )
        return fresh

    def _add_kept_crash(self, trait: Trait, crash: Crash) -> None:
        self._add_crash([trait], crash, "store")

    def _log_cleared(self, traits: Iterable[Trait], source: str) -> None:
        """Log which of the traits are no longer blamed for any crash."""
        now = self._ctx.clock.monotonic()
        for trait in traits:
            if self._evidence.crash_count(trait):
                continue
            log_event(
                "trait_cleared",
                kind=trait.kind,
                trait=trait.key,
                age_s=now - self._evidence.last_answer_at(trait),
                source=source,
            )

    def _spread(self, notice: EvidenceNotice) -> None:
        """Tell random peers, who pass on what is new to them."""
        peers = self._ctx.peer_ids()
        chosen = random.sample(peers, min(FANOUT, len(peers)))
        self._ctx.peers.send_to_all(chosen, notice)

    def handle_evidence_notice(self, sender: str, notice: EvidenceNotice) -> None:
        """Record what a peer reports; pass on what is new here."""
        self._spread_news(self._apply(sender, notice))

    def _spread_news(self, news: EvidenceNotice) -> None:
        if news.crashes or news.answers or news.cleared:
            self._spread(news)

    def _apply(self, source: str, notice: EvidenceNotice) -> EvidenceNotice:
        """Record a notice; return what is new, and answers that contradict it."""
        now = self._ctx.clock.monotonic()
        news = EvidenceNotice([], [], [])
        spoken_for = {trait for answer in notice.answers for trait in answer.traits}
        spoken_for.update(t for report in notice.cleared for t in report.traits)
        suspected = [t for t in spoken_for if self._evidence.crash_count(t)]
        for answer in notice.answers:
            changed = self._evidence.hear_answer(answer.traits, now - answer.age_s)
            news.answers.extend(make_answers(self._evidence, changed, now))
        for report in notice.cleared:
            crash = to_crash(report, now)
            changed = self._evidence.record_cleared(report.traits, crash)
            news.cleared.extend(make_reports([(t, crash) for t in changed], now))
        self._log_cleared(suspected, source)
        cleared = [t for t in suspected if not self._evidence.crash_count(t)]
        self._kept.withdraw_outdated(cleared)
        for report in notice.crashes:
            crash = to_crash(report, now)
            fresh = self._add_crash(report.traits, crash, source)
            crashes = make_reports([(trait, crash) for trait in fresh], now)
            against = contradict(self._evidence, EvidenceNotice(crashes, []), now)
            news.crashes.extend(crashes)
            news.answers.extend(against.answers)
            news.cleared.extend(against.cleared)
        return news

    def handle_evidence_request(
        self, inbound: InboundMessage, request: EvidenceRequest
    ) -> None:
        """Reply with all suspicions of this VM, and what clears those of the sender."""
        news = self._apply(inbound.sender, request.known)
        now = self._ctx.clock.monotonic()
        against = contradict(self._evidence, request.known, now)
        own = self._all()
        inbound.reply(EvidenceNotice(own.crashes, against.answers, against.cleared))
        self._spread_news(news)

    def _all(self) -> EvidenceNotice:
        return describe_suspicions(self._evidence, self._ctx.clock.monotonic())

    def compare(self, peer: str, digest: int) -> None:
        """Exchange suspicions with a peer that has others than this VM.

        A peer that suspects nothing may know what cleared the suspicions of this VM.
        Two digests are exchanged once, unless a message may have been lost.
        """
        own = self._evidence.digest()
        if digest == own or self._compared.get(peer) == (digest, own):
            return
        self._compared[peer] = (digest, own)

        def exchange() -> None:
            told = self._exchange(peer)
            if told is None or has_cleared(self._evidence, told):
                self._compared.pop(peer, None)

        spawn("crash_evidence_exchange", exchange)

    def _exchange(self, peer: str) -> EvidenceNotice | None:
        """Exchange suspicions with a peer; return its own, None without a reply."""
        deadline = self._ctx.clock.monotonic() + PEER_TIMEOUT_S
        request = EvidenceRequest(self._all())
        reply = self._ctx.peers.request_from(peer, request, deadline)
        if isinstance(reply, Err):
            log_event("peer_evidence_failed", peer=peer, why=reply.err_value.detail)
            return None
        notice = reply.ok_value
        if not isinstance(notice, EvidenceNotice):
            return None
        self.handle_evidence_notice(peer, notice)
        against = contradict(self._evidence, notice, self._ctx.clock.monotonic())
        if against.cleared or against.answers:
            self._ctx.peers.send_to(peer, against)
        return notice

    def _learn(self) -> None:
        """Read what is known from the store, or from peers while it is away."""
        started_at = self._ctx.clock.monotonic()
        while not self._kept.read():
            peers = self._ctx.peer_ids()
            if peers and self._exchange(random.choice(peers)) is not None:
                self.is_informed = True
            waited_s = self._ctx.clock.monotonic() - started_at
            if waited_s >= START_LIMIT_S and not self.is_informed:
                log_event("crash_evidence_unknown", level="warning", waited_s=waited_s)
                self.is_informed = True
            eventlet.sleep(START_RETRY_S)
        self.is_informed = True
