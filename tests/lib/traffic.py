"""Client load that runs during failures, and the checks of its responses."""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from gooseberry_fakes.cluster import Cluster, Reply
from gooseberry_fakes.engine import make_token

END_MARK = b"data: [DONE]\n\n"


def expected_text(model: str, prompt: str, tokens: int) -> str:
    """Return the whole completion of a prompt, which is the same on every engine."""
    return "".join(make_token(model, json.dumps(prompt), i) for i in range(tokens))


def read_stream(reply: Reply) -> str:
    """Return the concatenated text of the events of a stream."""
    events = reply.body.decode().split("\n\n")
    parts = [
        json.loads(event.removeprefix("data: "))
        for event in events
        if event.startswith("data: {")
    ]
    return "".join(part["choices"][0]["text"] for part in parts if "choices" in part)


@dataclass(slots=True)
class Completions:
    """Threads that stream completions while the context is entered.

    ``wrong_responses`` lists the whole responses with a text other than the expected
    one, ``failures`` the truncated and refused ones. ``counts`` are by outcome.
    """

    cluster: Cluster
    vms: list[str]
    models: list[str]
    workers: int = 4
    tokens: int = 30
    counts: Counter[str] = field(default_factory=Counter)
    wrong_responses: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def __enter__(self) -> Completions:
        for number in range(self.workers):
            thread = threading.Thread(target=self._run, args=(number,), daemon=True)
            thread.start()
            self._threads.append(thread)
        return self

    def __exit__(self, *_exc: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join(timeout=90)

    def _run(self, number: int) -> None:
        count = 0
        while not self._stopped.is_set():
            count += 1
            vm = self.vms[(number + count) % len(self.vms)]
            model = self.models[(number * 7 + count) % len(self.models)]
            prompt = f"{number}-{count}"
            reply = self.cluster.complete(
                vm, model, prompt, stream=True, max_tokens=self.tokens
            )
            self._check(vm, model, prompt, reply)

    def _check(self, vm: str, model: str, prompt: str, reply: Reply) -> None:
        if reply.status == 200 and reply.body.endswith(END_MARK):
            self.counts["whole"] += 1
            if read_stream(reply) != expected_text(model, prompt, self.tokens):
                self.wrong_responses.append(f"{vm} {model} {prompt}: wrong text")
            return
        self.counts[reply.outcome] += 1
        self.failures.append(
            f"{vm} {model}: {reply.status} {reply.error or reply.body!r}"
        )
        if reply.status == 0:
            time.sleep(0.1)


def wait_until(probe: object, limit_s: float, what: str) -> float:
    """Poll a function until it returns true; return the seconds that took.

    Fails if that takes longer than ``limit_s``; ``what`` names the condition.
    """
    assert callable(probe)
    started = time.monotonic()
    while not probe():
        waited_s = time.monotonic() - started
        assert waited_s < limit_s, f"not within {limit_s} s: {what}"
        time.sleep(0.05)
    return time.monotonic() - started
