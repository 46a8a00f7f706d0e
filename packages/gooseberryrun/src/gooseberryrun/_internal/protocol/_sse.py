"""Validation of the server-sent events and bodies of engine responses."""

from __future__ import annotations

import json

from result import Err, Ok, Result

from gooseberryrun._internal.coordination import EngineError, EngineFault, StreamBlock
from gooseberryrun._internal.state import EVENT_SEPARATOR, EventSplitter

DONE_EVENT = b"data: [DONE]"


class EventChecker:
    """Splits a byte stream into complete events and checks the model that they name.

    Only the first event is parsed, so that relaying costs no parsing per token.
    """

    def __init__(self, model: str) -> None:
        self._model = model
        self._splitter = EventSplitter()
        self._model_checked = False

    def feed(self, data: bytes) -> Result[StreamBlock, EngineError]:
        """Add received bytes; return the events that are now complete, maybe none."""
        complete = self._splitter.feed(data)
        if self._splitter.exceeds_limit:
            return Err(
                EngineError(EngineFault.BROKEN, "an event exceeds the size limit")
            )
        if not complete:
            return Ok(StreamBlock(b"", 0, False))
        if not self._model_checked:
            error = self._check_model(complete)
            if error is not None:
                return Err(error)
        events = complete.count(EVENT_SEPARATOR)
        done = complete.rstrip().endswith(DONE_EVENT)
        return Ok(StreamBlock(complete, events - done, done))

    def _check_model(self, complete: bytes) -> EngineError | None:
        first = complete.split(EVENT_SEPARATOR, 1)[0]
        if first == DONE_EVENT:
            return None
        self._model_checked = True
        try:
            named = json.loads(first.removeprefix(b"data: ")).get("model")
        except (ValueError, AttributeError):
            return EngineError(
                EngineFault.BROKEN, "the first event is not a JSON object"
            )
        if named != self._model:
            detail = f"requested model {self._model}, got {named}"
            return EngineError(EngineFault.WRONG_MODEL, detail)
        return None


def check_response_model(body: bytes, model: str) -> EngineError | None:
    """Check the model that a complete JSON response names."""
    try:
        named = json.loads(body).get("model")
    except (ValueError, AttributeError):
        return EngineError(EngineFault.BROKEN, "the response is not a JSON object")
    if named != model:
        return EngineError(
            EngineFault.WRONG_MODEL, f"requested model {model}, got {named}"
        )
    return None
