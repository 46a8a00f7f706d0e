"""Runners owned by this VM: one task each, and the requests of peers to them."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import Runner, RunnerView

from .._events import log_event
from .._metrics import RUNNERS_OWNED
from .._ports import InboundMessage
from .._serving_messages import (
    AcquireAnswer,
    AcquireRequest,
    PrefillNotice,
    ResidencyNotice,
    UseNotice,
)
from .._tasks import spawn, spawn_until_done
from ._context import Context
from ._runner_owner import RunnerOwner
from ._runner_speeds import RunnerSpeeds
from ._ticks import sleep_until_tick
from ._waiting_requests import Refusal

ResidencyListener = Callable[[str, ResidencyNotice], None]
"""Called with the id of the owner that sent a residency notice, and the notice."""
MIN_BATCH_S = 0.02
"""Shortest time for which residency changes are batched before they are sent."""
BATCH_PER_FOLLOWER_S = 0.005
"""Batching time per local peer; bounds the rate of messages from an owner."""


class OwnedRunners:
    """Starts and stops the tasks of the runners that this VM owns."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._tasks: dict[str, RunnerOwner] = {}
        self._is_closed = False
        self._changed_runners: set[str] = set()
        self._speeds = RunnerSpeeds(ctx)
        self.residency_listener: ResidencyListener = self._update_residency

    def _update_residency(self, _vm: str, notice: ResidencyNotice) -> None:
        self._ctx.residency.update(notice)

    def start(self) -> None:
        """Start the check loop in a green thread."""
        spawn_until_done("owners", self._check_all)

    def close(self) -> None:
        """Stop all tasks, so that no more orders are sent."""
        self._is_closed = True
        for task in self._tasks.values():
            task.close()
        self._tasks.clear()

    def residency(self) -> list[ResidencyNotice]:
        """Return the residency of the owned runners, as far as it is known."""
        notices = [task.residency() for task in self._tasks.values()]
        return [notice for notice in notices if notice is not None]

    def acquire(self, request: AcquireRequest, deadline: float) -> Result[int, Refusal]:
        """Make an adapter ready on an owned runner; return its version."""
        task = self._tasks.get(request.runner)
        if task is None:
            return Err(Refusal("not_owner", 0.2))
        return task.acquire(request, deadline)

    def handle_acquire_request(
        self, inbound: InboundMessage, request: AcquireRequest
    ) -> None:
        """Serve a peer's request in a new green thread."""
        spawn("owner_answer", lambda: self._reply_to_acquire(inbound, request))

    def _reply_to_acquire(
        self, inbound: InboundMessage, request: AcquireRequest
    ) -> None:
        deadline = self._ctx.clock.monotonic() + request.left_s
        acquired = self.acquire(request, deadline)
        if isinstance(acquired, Ok):
            inbound.reply(
                AcquireAnswer(
                    acquired.ok_value, "", 0.0, *self._runner_state(request.runner)
                )
            )
            return
        refusal = acquired.err_value
        log_event(
            "acquire_refused",
            request=request.request_id,
            runner=request.runner,
            adapter=request.adapter,
            reason=refusal.reason,
        )
        state = self._runner_state(request.runner)
        inbound.reply(AcquireAnswer(-1, refusal.reason, refusal.retry_in_s, *state))

    def _runner_state(
        self, runner_id: str
    ) -> tuple[ResidencyNotice | None, RunnerView | None]:
        """Return the residency and load of an owned runner, for VMs without updates."""
        task = self._tasks.get(runner_id)
        if task is None:
            return None, None
        now = self._ctx.clock.monotonic()
        return task.residency(), self._ctx.loads.total(runner_id, now)

    def handle_use_notice(self, vm: str, notice: UseNotice) -> None:
        """Record how many requests of a VM use an adapter."""
        task = self._tasks.get(notice.runner)
        if task is not None:
            task.record_use(vm, notice.adapter, notice.count, notice.step_s)

    def handle_prefill_notice(self, notice: PrefillNotice) -> None:
        """Take back the grant of a long prompt."""
        task = self._tasks.get(notice.runner)
        if task is not None:
            task.end_prefill(notice.request_id, notice.took_s)

    def refresh(self) -> None:
        """Start and stop tasks according to the view in force, and wake all of them."""
        if self._is_closed:
            return
        self._check()
        for task in self._tasks.values():
            task.wake()

    def _check_all(self) -> None:
        while not self._is_closed:
            self._check()
            sleep_until_tick(self._ctx.clock)

    def _check(self) -> None:
        owned = {runner.id: runner for runner in self._owned_runners()}
        for runner_id, task in list(self._tasks.items()):
            runner = owned.get(runner_id)
            if runner is None or runner.born_ms != task.runner.born_ms:
                del self._tasks[runner_id]
                task.close()
                log_event("runner_released", runner=runner_id)
        for runner_id, runner in owned.items():
            if runner_id not in self._tasks:
                self._start_task(runner)
        RUNNERS_OWNED.set(len(self._tasks))

    def _owned_runners(self) -> list[Runner]:
        now = self._ctx.clock.boottime()
        return [
            runner
            for runner in self._ctx.directory.all_runners()
            if not runner.draining
            and self._max_adapters(runner) is not None
            and self._ctx.ownership_for(runner).is_assigned(runner, now)
        ]

    def _max_adapters(self, runner: Runner) -> int | None:
        table = self._ctx.directory.table
        service = table.services.get(runner.service) if table else None
        return service.engine.max_adapters if service and service.engine else None

    def _start_task(self, runner: Runner) -> None:
        max_adapters = self._max_adapters(runner) or 0
        task = RunnerOwner(
            self._ctx,
            runner,
            max_adapters,
            lambda: self._schedule_notice(runner.id),
            self._speeds,
        )
        self._tasks[runner.id] = task
        log_event(
            "runner_owned",
            runner=runner.id,
            generation=self._ctx.ownership_for(runner).generation,
        )
        task.start()

    def _schedule_notice(self, runner_id: str) -> None:
        """Schedule a notice of a runner's residency, batched with other changes."""
        if not self._changed_runners:
            followers = len(self._ctx.local_peer_ids())
            batch_s = max(MIN_BATCH_S, BATCH_PER_FOLLOWER_S * followers)
            eventlet.spawn_after(batch_s, self._send_changes)
        self._changed_runners.add(runner_id)

    def _send_changes(self) -> None:
        runners, self._changed_runners = self._changed_runners, set()
        for runner_id in runners:
            task = self._tasks.get(runner_id)
            notice = task.residency() if task else None
            if task is None or notice is None:
                continue
            self.residency_listener(self._ctx.vm, notice)
            self._ctx.peers.send_to_all(self._ctx.followers(task.runner), notice)
