"""HTTP connections to backend servers and the platform."""

from __future__ import annotations

import contextvars
import socket
from dataclasses import dataclass
from typing import Any

import urllib3
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from gooseberryrun._internal.coordination import Guard, current_traceparent
from gooseberryrun._internal.state import Settings

CONNECT_TIMEOUT_S = 1.0
USER_TIMEOUT_MS = 3000
"""Unacknowledged bytes are given up after this time."""
CONNECTIONS_PER_HOST = 64


class GuardFailedError(Exception):
    """The guard forbade the request just before it was written."""


@dataclass(slots=True)
class _CallState:
    guard: Guard
    sent: bool = False


_CALL: contextvars.ContextVar[_CallState | None] = contextvars.ContextVar(
    "call", default=None
)


class _GuardedConnection(HTTPConnection):
    """Checks the guard after connecting, immediately before the first byte."""

    def send(self, data: Any) -> None:
        """Send bytes of a request."""
        call = _CALL.get()
        if call is not None and not call.sent:
            if self.sock is None:
                self.connect()
            if not call.guard():
                raise GuardFailedError
            call.sent = True
        super().send(data)


class _GuardedPool(HTTPConnectionPool):
    ConnectionCls = _GuardedConnection


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Failed exchange; ``sent`` if any byte may have arrived."""

    sent: bool
    timed_out: bool
    refused_by_guard: bool
    detail: str


def _always() -> bool:
    return True


class HttpClient:
    """Connection pools by address; requests are never repeated by themselves."""

    def __init__(self, cfg: Settings) -> None:
        self._source = (str(cfg.vm.address), 0)
        self._pools: dict[tuple[str, int], _GuardedPool] = {}

    def pool(self, host: str, port: int) -> _GuardedPool:
        """Return the pool for an address."""
        pool = self._pools.get((host, port))
        if pool is None:
            pool = self._make_pool(host, port)
            self._pools[(host, port)] = pool
        return pool

    def _make_pool(self, host: str, port: int) -> _GuardedPool:
        options = [
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        ]
        return _GuardedPool(
            host,
            port,
            maxsize=CONNECTIONS_PER_HOST,
            block=False,
            retries=False,
            source_address=self._source,
            socket_options=options,
        )

    def close(self, host: str, port: int) -> None:
        """Close the idle connections to an address."""
        pool = self._pools.pop((host, port), None)
        if pool is not None:
            pool.close()

    def request(
        self,
        host: str,
        port: int,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float,
        guard: Guard = _always,
        preload: bool = True,
        fresh: bool = False,
    ) -> Result[urllib3.BaseHTTPResponse, HttpFailure]:
        """Send one request, once.

        With ``fresh`` the connection is new, so that a failure before the write is
        surely one. Without ``preload`` the caller reads and closes the answer.
        """
        pool = self._make_pool(host, port) if fresh else self.pool(host, port)
        call = _CallState(guard)
        token = _CALL.set(call)
        sent_headers = {"traceparent": current_traceparent(), **(headers or {})}
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, max(0.01, timeout_s)),
            read=max(0.01, timeout_s),
        )
        try:
            response = pool.urlopen(
                method,
                path,
                body=body,
                headers={key: value for key, value in sent_headers.items() if value},
                timeout=timeout,
                preload_content=preload,
                redirect=False,
            )
            return Ok(response)
        except GuardFailedError:
            return Err(HttpFailure(False, False, True, "the lease has lapsed"))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            # A refused connection is a NewConnectionError, which urllib3 derives from
            # its timeouts.
            timed_out = isinstance(
                exc, urllib3.exceptions.TimeoutError | TimeoutError
            ) and not isinstance(exc, urllib3.exceptions.NewConnectionError)
            return Err(HttpFailure(call.sent, timed_out, False, describe_error(exc)))
        finally:
            _CALL.reset(token)
            if fresh and preload:
                pool.close()


def describe_error(exc: Exception) -> str:
    """Return a short description of an exception, without object addresses."""
    text = str(exc)
    _, _, tail = text.rpartition(": ")
    return f"{type(exc).__name__}: {tail or text}"
