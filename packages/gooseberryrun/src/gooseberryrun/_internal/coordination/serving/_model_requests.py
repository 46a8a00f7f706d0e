"""Requests to model runners, answered by streams of events."""

from __future__ import annotations

from dataclasses import dataclass, field

from result import Err

from gooseberryrun._internal.state import rank_nodes
from gooseberryrun._internal.state.serving import (
    Candidate,
    Choice,
    Runner,
    choose_model_runner,
    expected_first_event_s,
)

from .._events import log_event
from .._metrics import LOAD_STALL
from ._adapters import Adapters, AdapterWant
from ._answers import Answers, end_to_end, is_genuine, no_answer
from ._attempts import Attempts
from ._context import Context
from ._event_stream import EventBuffer
from ._job import Job, OwnAnswer, Round, run_rounds
from ._ports import AttemptFailure, AttemptFault, Forwarding, RunnerAnswer
from ._runner_owner import adapter_key

HOME_RUNNERS = 2
"""Runners of an adapter's home domain that VMs of other domains consider."""
MAX_ROUNDS = 6
"""Choices of a runner for one request."""
MAX_WAIT_SHARE = 0.6
"""Share of the time left that may pass before the first event; a request that would
wait longer is refused at once."""
MAX_LATENESS = 2.2
"""Longest expected wait as a multiple of the route's target latency: under overload,
short queues serve most requests in time where long ones make all of them late."""
MIN_SLOWNESS_SAMPLE_S = 0.03
"""Shortest expected time that an observed one is compared with."""
URGENCY_STEP = 2
"""Ranks of the engines' urgency between two priorities of routes."""
MAX_URGENCY = 9
BUSY_RETRY_S = 1.0
"""Time to come back after a refusal for want of room."""


@dataclass(slots=True)
class _Progress:
    """What the caller has of its stream."""

    events: EventBuffer = field(default_factory=EventBuffer)
    is_started: bool = False


class ModelRequests:
    """Serves requests that name a model or one of its adapters."""

    def __init__(
        self, ctx: Context, adapters: Adapters, attempts: Attempts, answers: Answers
    ) -> None:
        self._ctx = ctx
        self._adapters = adapters
        self._attempts = attempts
        self._answers = answers

    def serve(self, job: Job) -> None:
        """Answer a request."""
        progress = _Progress()
        outcome = run_rounds(MAX_ROUNDS, lambda: self._try_once(job, progress))
        if outcome is Round.AGAIN:
            outcome = no_answer(job, "attempts", BUSY_RETRY_S)
        if isinstance(outcome, OwnAnswer):
            self._end(job, progress, outcome)

    def _end(self, job: Job, progress: _Progress, own: OwnAnswer) -> None:
        """Answer, or break off what has begun."""
        if not progress.is_started:
            self._answers.give_own(job, own)
            return
        self._answers.log(job, 0, f"cut: {own.reason}")
        job.caller.cut()

    def _try_once(self, job: Job, progress: _Progress) -> OwnAnswer | Round:
        now = self._ctx.clock.monotonic()
        if now >= job.deadline:
            return no_answer(job, "deadline")
        choice = self._choose(job, now)
        if choice is None:
            return no_answer(job, "no_runner", BUSY_RETRY_S)
        if choice.expected_s > self._longest_wait_s(job, now):
            _log_overload(job, choice)
            return no_answer(job, "overload", BUSY_RETRY_S)
        runner = choice.candidate.runner
        if not choice.candidate.has_adapter and not self._acquire(job, runner):
            return Round.AGAIN
        if not self._attempts.may_send(job):
            return no_answer(job, "repeat_budget", BUSY_RETRY_S)
        return self._attempt(job, runner, choice, progress)

    @staticmethod
    def _longest_wait_s(job: Job, now: float) -> float:
        """Return the longest wait for a first event that is worth its place."""
        left_s = MAX_WAIT_SHARE * (job.deadline - now)
        return min(left_s, MAX_LATENESS * job.route.target_latency_s)

    # Choosing and loading.

    def _choose(self, job: Job, now: float) -> Choice | None:
        adapter = self._key(job)
        candidates = []
        for runner in self._eligible(job, adapter, now):
            if runner.id in job.tried or self._ctx.loads.is_down(runner.id, now):
                continue
            if all(model.name != job.facts.model for model in runner.models):
                continue
            candidates.append(self._candidate(job, runner, adapter, now))
        return choose_model_runner(candidates, adapter, job.facts.prompt_tokens)

    def _eligible(self, job: Job, adapter: str, now: float) -> list[Runner]:
        """Return the runners that this VM follows, and an adapter's home runners.

        Rare adapters have one home in all domains, so that their loads are shared.
        """
        runners = self._ctx.directory.runners(job.service, now)
        found = [runner for runner in runners if self._ctx.follows(runner)]
        if len(found) == len(runners):
            return found
        by_domain = self._ctx.directory.runners_by_domain(job.service)
        home = by_domain[rank_nodes(adapter, by_domain)[0]]
        ranking = rank_nodes(adapter, [runner.id for runner in home])
        homes = set(ranking[:HOME_RUNNERS])
        known = {runner.id for runner in found}
        return found + [r for r in home if r.id in homes and r.id not in known]

    def _candidate(
        self, job: Job, runner: Runner, adapter: str, now: float
    ) -> Candidate:
        has_adapter = not job.facts.adapter
        if job.facts.adapter:
            held = self._adapters.held(runner).get(adapter, -1)
            has_adapter = held >= self._wanted_version(job)
        queue = self._adapters.queue(runner)
        return Candidate(
            runner=runner,
            view=self._ctx.loads.total(runner.id, now),
            is_local=runner.domain == self._ctx.cfg.vm.domain,
            has_adapter=has_adapter,
            can_load=self._can_load(job, runner),
            held_recently=self._adapters.was_held(runner, adapter),
            idle_places=queue.idle,
            waiting=queue.waiting,
            turn_s=queue.turn_s,
        )

    def _can_load(self, job: Job, runner: Runner) -> bool:
        return runner.id not in job.unloadable and self._adapters.can_order(runner)

    def _key(self, job: Job) -> str:
        return adapter_key(job.facts.model, job.facts.adapter)

    def _wanted_version(self, job: Job) -> int:
        return self._ctx.directory.version_of(job.facts.model, job.facts.adapter)

    def _acquire(self, job: Job, runner: Runner) -> bool:
        """Wait until the runner has the adapter; return False to look elsewhere."""
        asked_at = self._ctx.clock.monotonic()
        deadline = asked_at + self._longest_wait_s(job, asked_at)
        want = AdapterWant(
            self._key(job),
            self._wanted_version(job),
            job.request.read_at + job.route.target_latency_s,
            job.route.priority,
            job.facts.request_id,
            job.missing_at == runner.id,
        )
        acquired = self._adapters.acquire(runner, want, deadline)
        stalled_s = self._ctx.clock.monotonic() - asked_at
        LOAD_STALL.observe(stalled_s)
        reason = acquired.err_value.reason if isinstance(acquired, Err) else "ready"
        log_event(
            "adapter_wait",
            request=job.facts.request_id,
            runner=runner.id,
            adapter=job.facts.adapter,
            took_s=stalled_s,
            outcome=reason,
        )
        if isinstance(acquired, Err):
            job.unloadable.add(runner.id)
            return False
        return True

    # One attempt.

    def _attempt(
        self, job: Job, runner: Runner, choice: Choice, progress: _Progress
    ) -> OwnAnswer | Round:
        reading = _Reading(self._ctx, runner, job.facts.prompt_tokens, choice)
        adapter = self._key(job)
        self._adapters.begin_use(runner, adapter)
        try:
            return self._ask(job, runner, progress, reading)
        finally:
            reading.end()
            self._adapters.end_use(runner, adapter)

    def _ask(
        self, job: Job, runner: Runner, progress: _Progress, reading: _Reading
    ) -> OwnAnswer | Round:
        forwarding = self._forwarding(job, runner, progress)
        sent = self._attempts.send(job, runner, forwarding, job.deadline)
        if isinstance(sent, Err):
            return self._after_fault(job, sent.err_value)
        answer = sent.ok_value
        try:
            if answer.facts.is_not_run:
                return self._after_not_run(job, runner, answer)
            return self._take(job, runner, answer, progress, reading)
        finally:
            answer.close()

    def _forwarding(self, job: Job, runner: Runner, progress: _Progress) -> Forwarding:
        version = 0
        if job.facts.adapter and self._wanted_version(job):
            version = self._adapters.held(runner).get(self._key(job), 0)
        return Forwarding(
            runner.id,
            job.deadline - self._ctx.clock.monotonic(),
            min(MAX_URGENCY, 1 + URGENCY_STEP * job.route.priority),
            version,
            progress.events.last_id or job.facts.last_event_id,
        )

    def _after_not_run(self, job: Job, runner: Runner, answer: RunnerAnswer) -> Round:
        if answer.facts.is_misdirected:
            self._adapters.forget(runner, self._key(job))
            job.missing_at = runner.id
            job.tried.discard(runner.id)
        return Round.AGAIN

    def _after_fault(self, job: Job, fault: AttemptFault) -> OwnAnswer | Round:
        if fault.failure is AttemptFailure.NOT_SENT or job.may_repeat:
            return Round.AGAIN
        is_late = fault.failure is AttemptFailure.LATE
        return no_answer(job, "deadline" if is_late else "runner_failed")

    # The answer.

    def _take(
        self,
        job: Job,
        runner: Runner,
        answer: RunnerAnswer,
        progress: _Progress,
        reading: _Reading,
    ) -> OwnAnswer | Round:
        if not is_genuine(answer):
            fault = AttemptFault(AttemptFailure.SPOILED, "not signed")
            self._attempts.note_cut(job, runner, fault)
            return self._after_fault(job, fault)
        if answer.status != 200:
            return self._take_failure(job, runner, answer, progress)
        return self._relay(job, runner, answer, progress, reading)

    def _take_failure(
        self, job: Job, runner: Runner, answer: RunnerAnswer, progress: _Progress
    ) -> OwnAnswer | Round:
        body = answer.read_all(job.deadline)
        if isinstance(body, Err):
            self._attempts.note_cut(job, runner, body.err_value)
            return self._after_fault(job, body.err_value)
        is_failure = answer.status >= 500
        now = self._ctx.clock.monotonic()
        self._ctx.loads.record_result(runner.id, ok=not is_failure, now=now)
        if is_failure and job.may_repeat and self._attempts.has_repeat(job):
            return Round.AGAIN
        if progress.is_started:
            return no_answer(job, "runner_failed")
        self._answers.relay(job, answer, body.ok_value)
        return Round.DONE

    def _relay(
        self,
        job: Job,
        runner: Runner,
        answer: RunnerAnswer,
        progress: _Progress,
        reading: _Reading,
    ) -> OwnAnswer | Round:
        for piece in answer.pieces(job.deadline):
            if isinstance(piece, Err):
                progress.events.restart()
                self._attempts.note_cut(job, runner, piece.err_value)
                return self._after_fault(job, piece.err_value)
            events = progress.events.take(piece.ok_value)
            if progress.events.is_too_long:
                fault = AttemptFault(AttemptFailure.SPOILED, "too long an event")
                progress.events.restart()
                self._attempts.note_cut(job, runner, fault)
                return self._after_fault(job, fault)
            if events:
                reading.note_first_event()
                self._pass_on(job, answer, progress, events)
        self._finish(job, runner, answer, progress)
        return Round.DONE

    def _pass_on(
        self, job: Job, answer: RunnerAnswer, progress: _Progress, events: bytes
    ) -> None:
        if not progress.is_started:
            progress.is_started = True
            job.caller.start(answer.status, end_to_end(answer.headers))
        job.caller.send(events)

    def _finish(
        self, job: Job, runner: Runner, answer: RunnerAnswer, progress: _Progress
    ) -> None:
        self._attempts.note_success(runner)
        rest = progress.events.rest()
        if rest or not progress.is_started:
            self._pass_on(job, answer, progress, rest)
        self._answers.log(job, answer.status, "relayed")
        job.caller.finish()


def _log_overload(job: Job, choice: Choice) -> None:
    """Log what made the best runner too slow for a request."""
    candidate = choice.candidate
    log_event(
        "overload",
        request=job.facts.request_id,
        runner=candidate.runner.id,
        expected_s=choice.expected_s,
        unread_tokens=candidate.view.unread_tokens,
        in_flight=candidate.view.in_flight,
        slowness=candidate.view.slowness,
        has_adapter=candidate.has_adapter,
        idle_places=candidate.idle_places,
        waiting=candidate.waiting,
        turn_s=candidate.turn_s,
    )


class _Reading:
    """Counts a request at a runner until its end, its prompt until it is read."""

    def __init__(
        self, ctx: Context, runner: Runner, tokens: int, choice: Choice
    ) -> None:
        self._ctx = ctx
        self._runner = runner
        self._tokens = tokens
        self._expected_s = expected_first_event_s(choice.candidate, tokens)
        self._slowness = choice.candidate.view.slowness
        self._sent_at = ctx.clock.monotonic()
        self._is_reading = True
        ctx.loads.begin(runner.id, tokens)

    def note_first_event(self) -> None:
        """Note that the prompt was read."""
        if not self._is_reading:
            return
        self._is_reading = False
        now = self._ctx.clock.monotonic()
        self._ctx.loads.record_first_event(self._runner.id, self._tokens)
        plain_s = self._expected_s / max(self._slowness, 0.1)
        if plain_s >= MIN_SLOWNESS_SAMPLE_S:
            ratio = (now - self._sent_at) / plain_s
            self._ctx.loads.record_slowness(self._runner.id, ratio, now)

    def end(self) -> None:
        """Note that the request is over."""
        if self._is_reading:
            self._is_reading = False
            self._ctx.loads.record_first_event(self._runner.id, self._tokens)
        self._ctx.loads.end(self._runner.id)
