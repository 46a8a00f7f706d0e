"""Server-sent events of completions, checked while they pass through."""

from __future__ import annotations

import json

from result import Err, Ok, Result

from gooseberryrun._internal.coordination import EngineError, EngineFault, StreamBlock

END_MARK = b"data: [DONE]"
SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class EventChecker:
    """Splits a byte stream into whole events and checks the model they name.

    Only the first event is parsed, so that relaying costs no parsing per token.
    """

    def __init__(self, model: str) -> None:
        self._model = model
        self._rest = b""
        self._checked = False

    def feed(self, data: bytes) -> Result[StreamBlock, EngineError]:
        """Take bytes; return the whole events among them, which may be none."""
        buffer = self._rest + data
        cut = buffer.rfind(SEPARATOR)
        if cut < 0:
            self._rest = buffer
            if len(buffer) > MAX_EVENT_BYTES:
                return Err(EngineError(EngineFault.BROKEN, "event too large"))
            return Ok(StreamBlock(b"", 0, False))
        whole = buffer[: cut + len(SEPARATOR)]
        self._rest = buffer[cut + len(SEPARATOR) :]
        if not self._checked:
            wrong = self._check_model(whole)
            if wrong is not None:
                return Err(wrong)
        events = whole.count(SEPARATOR)
        done = whole.rstrip().endswith(END_MARK)
        return Ok(StreamBlock(whole, events - done, done))

    def _check_model(self, whole: bytes) -> EngineError | None:
        first = whole.split(SEPARATOR, 1)[0]
        if first == END_MARK:
            return None
        self._checked = True
        try:
            named = json.loads(first.removeprefix(b"data: ")).get("model")
        except (ValueError, AttributeError):
            return EngineError(EngineFault.BROKEN, "the first event is not JSON")
        if named != self._model:
            detail = f"asked for {self._model}, got {named}"
            return EngineError(EngineFault.WRONG_MODEL, detail)
        return None


def check_response_model(body: bytes, model: str) -> EngineError | None:
    """Check the model that a whole JSON answer names."""
    try:
        named = json.loads(body).get("model")
    except (ValueError, AttributeError):
        return EngineError(EngineFault.BROKEN, "the answer is not a JSON object")
    if named != model:
        return EngineError(EngineFault.WRONG_MODEL, f"asked for {model}, got {named}")
    return None
