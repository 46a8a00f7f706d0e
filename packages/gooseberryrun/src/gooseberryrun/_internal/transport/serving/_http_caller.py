"""Caller of one request on a connection: its responses and its disconnection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
from eventlet.hubs import get_hub

from gooseberryrun._internal.coordination.serving import (
    Caller,
    CallerDisconnectedError,
    Headers,
    InboundRequest,
    StoppingError,
)

from ._event_sender import EventSender
from ._sockets import has_ended


class HttpCaller(Caller):
    """Sends the response to one request; ``closes_after`` is asked for each head."""

    def __init__(
        self,
        sender: EventSender,
        request: InboundRequest,
        closes_after: Callable[[], bool],
    ) -> None:
        self._sender = sender
        self._request = request
        self._closes_after = closes_after
        self.is_interruptible = True
        self.is_disconnected = False
        self.is_answered = False

    def continue_after_disconnect(self) -> None:
        self.is_interruptible = False

    def end_after_disconnect(self) -> None:
        self.is_interruptible = not self.is_answered

    def has_left(self) -> bool:
        self.is_disconnected = self.is_disconnected or self._sender.has_lost_reader()
        return self.is_disconnected

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        self._end_interruptions()
        framed = [*headers, ("content-length", str(len(body)))]
        events: list[Any] = [self._head(status, framed)]
        if body and self._request.method != "HEAD":
            events.append(h11.Data(data=body))
        self._sender.send(*events, h11.EndOfMessage(), is_counted=True)

    def start(self, status: int, headers: Headers) -> None:
        self._sender.send(self._head(status, headers))

    def send(self, data: bytes) -> None:
        self._sender.send(h11.Data(data=data))

    def finish(self) -> None:
        self._end_interruptions()
        self._sender.send(h11.EndOfMessage())

    def abort(self) -> None:
        self._end_interruptions()
        self._sender.end()
        raise CallerDisconnectedError

    def _end_interruptions(self) -> None:
        self.is_interruptible = False
        self.is_answered = True

    def _head(self, status: int, headers: Headers) -> h11.Response:
        if self._closes_after():
            headers = [*headers, ("connection", "close")]
        return h11.Response(status_code=status, headers=headers)


def check_disconnect(sock: Any, request: Any, caller: HttpCaller) -> None:
    """Interrupt the green thread of a request if its caller has disconnected."""
    if not has_ended(sock):
        return
    caller.is_disconnected = True
    get_hub().schedule_call_global(0, _interrupt, request, caller)


def _interrupt(request: Any, caller: HttpCaller) -> None:
    """Raise ``CallerDisconnectedError`` in a request's thread if interruptible."""
    if caller.is_interruptible and not request.dead:
        request.throw(CallerDisconnectedError())


def interrupt_to_stop(request: Any, caller: HttpCaller) -> None:
    """Raise ``StoppingError`` in a request's thread unless its response is sent."""
    if not caller.is_answered and not request.dead:
        request.throw(StoppingError())
