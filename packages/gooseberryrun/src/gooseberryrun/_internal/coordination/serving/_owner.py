"""Runners that this VM owns: one task each, and the questions of peers."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from result import Err, Ok, Result

from gooseberryrun._internal.state.serving import Runner, RunnerView

from .._events import log_event
from .._metrics import RUNNERS_OWNED
from .._ports import Inbound
from .._serving_messages import (
    AcquireAnswer,
    AcquireRequest,
    ResidencyNotice,
    UseNotice,
)
from .._tasks import spawn, spawn_until_done
from ._context import Context
from ._runner_owner import Refused, RunnerOwner

ResidencyListener = Callable[[str, ResidencyNotice], None]
"""Takes in what an owner, the first argument, says that a runner holds."""
TELL_S = 0.02
"""Shortest time for which changes are gathered before they are told."""
TELL_PER_FOLLOWER_S = 0.005
"""Gathering time for each VM that is told, which bounds an owner's messages."""
CHECK_S = 0.3
"""Pause between checks of which runners are owned."""


class Owners:
    """Starts and ends the tasks of owned runners."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        self._tasks: dict[str, RunnerOwner] = {}
        self._is_closed = False
        self._to_tell: set[str] = set()
        self.on_residency: ResidencyListener = self._ignore_sender

    def _ignore_sender(self, _vm: str, notice: ResidencyNotice) -> None:
        self._ctx.hear_residency(notice)

    def start(self) -> None:
        """Check in a green thread of its own."""
        spawn_until_done("owners", self._check_all)

    def close(self) -> None:
        """Give no more orders."""
        self._is_closed = True
        for task in self._tasks.values():
            task.close()
        self._tasks.clear()

    def residency(self) -> list[ResidencyNotice]:
        """Return what the owned runners hold."""
        notices = [task.residency() for task in self._tasks.values()]
        return [notice for notice in notices if notice is not None]

    def acquire(
        self, question: AcquireRequest, deadline: float
    ) -> Result[int, Refused]:
        """Have an adapter ready on an owned runner."""
        task = self._tasks.get(question.runner)
        if task is None:
            return Err(Refused("not_owner", 0.2))
        return task.acquire(question, deadline)

    def answer(self, inbound: Inbound, question: AcquireRequest) -> None:
        """Answer a peer's question, in a green thread of its own."""
        spawn("owner_answer", lambda: self._answer(inbound, question))

    def _answer(self, inbound: Inbound, question: AcquireRequest) -> None:
        deadline = self._ctx.clock.monotonic() + question.left_s
        acquired = self.acquire(question, deadline)
        if isinstance(acquired, Ok):
            inbound.reply(
                AcquireAnswer(acquired.ok_value, "", 0.0, *self._state(question.runner))
            )
            return
        refused = acquired.err_value
        log_event(
            "acquire_refused",
            request=question.request_id,
            runner=question.runner,
            adapter=question.adapter,
            reason=refused.reason,
        )
        state = self._state(question.runner)
        inbound.reply(AcquireAnswer(-1, refused.reason, refused.retry_in_s, *state))

    def _state(
        self, runner_id: str
    ) -> tuple[ResidencyNotice | None, RunnerView | None]:
        """Return what is known of an owned runner, for a VM that is not told."""
        task = self._tasks.get(runner_id)
        if task is None:
            return None, None
        now = self._ctx.clock.monotonic()
        return task.residency(), self._ctx.loads.total(runner_id, now)

    def hear_use(self, vm: str, notice: UseNotice) -> None:
        """Take in which adapters a VM's requests are on."""
        task = self._tasks.get(notice.runner)
        if task is not None:
            task.note_use(vm, notice.adapter, notice.count)

    def refresh(self) -> None:
        """Take up and give up runners by the view in force, and wake their tasks."""
        if self._is_closed:
            return
        self._check()
        for task in self._tasks.values():
            task.wake()

    def _check_all(self) -> None:
        while not self._is_closed:
            self._check()
            eventlet.sleep(CHECK_S)

    def _check(self) -> None:
        wanted = {runner.id: runner for runner in self._owned_runners()}
        for runner_id, task in list(self._tasks.items()):
            runner = wanted.get(runner_id)
            if runner is None or runner.born_ms != task.runner.born_ms:
                del self._tasks[runner_id]
                task.close()
                log_event("runner_released", runner=runner_id)
        for runner_id, runner in wanted.items():
            if runner_id not in self._tasks:
                self._open(runner)
        RUNNERS_OWNED.set(len(self._tasks))

    def _owned_runners(self) -> list[Runner]:
        now = self._ctx.clock.boottime()
        return [
            runner
            for runner in self._ctx.directory.all_runners()
            if not runner.draining
            and self._max_adapters(runner) is not None
            and self._ctx.rights_to(runner).holds(runner, now)
        ]

    def _max_adapters(self, runner: Runner) -> int | None:
        table = self._ctx.directory.table
        service = table.services.get(runner.service) if table else None
        return service.engine.max_adapters if service and service.engine else None

    def _open(self, runner: Runner) -> None:
        max_adapters = self._max_adapters(runner) or 0
        task = RunnerOwner(
            self._ctx, runner, max_adapters, lambda: self._changed(runner.id)
        )
        self._tasks[runner.id] = task
        log_event(
            "runner_owned",
            runner=runner.id,
            generation=self._ctx.rights_to(runner).generation,
        )
        task.start()

    def _changed(self, runner_id: str) -> None:
        """Tell what a runner holds now; changes of one moment go together."""
        if not self._to_tell:
            followers = len(self._ctx.near_peer_ids())
            gather_s = max(TELL_S, TELL_PER_FOLLOWER_S * followers)
            eventlet.spawn_after(gather_s, self._tell)
        self._to_tell.add(runner_id)

    def _tell(self) -> None:
        runners, self._to_tell = self._to_tell, set()
        for runner_id in runners:
            task = self._tasks.get(runner_id)
            notice = task.residency() if task else None
            if task is None or notice is None:
                continue
            self.on_residency(self._ctx.vm, notice)
            self._ctx.peers.send_to_all(self._ctx.followers(task.runner), notice)
