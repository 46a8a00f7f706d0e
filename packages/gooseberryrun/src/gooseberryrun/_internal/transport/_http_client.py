"""HTTP client for backend servers and the platform's services."""

from __future__ import annotations

import contextvars
import socket
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import urllib3
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from gooseberryrun._internal.coordination import SendCheck, current_traceparent
from gooseberryrun._internal.state import Settings

from ._bounded_response import BoundedResponse

CONNECT_TIMEOUT_S = 1.0
USER_TIMEOUT_MS = 3000
"""TCP_USER_TIMEOUT: limit for bytes that stay unacknowledged."""
MAX_IDLE_CONNECTIONS_PER_HOST = 64


class SendCheckFailedError(Exception):
    """Raised when the send check rejects a request just before it is written."""


@dataclass(slots=True)
class _CallState:
    send_check: SendCheck
    sent: bool = False


_CURRENT_CALL: contextvars.ContextVar[_CallState | None] = contextvars.ContextVar(
    "call", default=None
)


class _LineReader:
    """Reads lines of a response head and keeps the last one."""

    def __init__(self, raw: Any) -> None:
        self.raw = raw
        self.last = b""

    def readline(self, limit: int = -1) -> bytes:
        """Read one line."""
        self.last = self.raw.readline(limit)
        return self.last

    def __getattr__(self, name: str) -> Any:
        """Delegate everything else."""
        return getattr(self.raw, name)


class _WholeHeadResponse(BoundedResponse):
    """Response whose head has to end with an empty line.

    The base class takes the end of the connection for the end of the head.
    """

    def begin(self) -> None:
        """Read the head; raise ConnectionResetError if it breaks off."""
        reader = _LineReader(self.fp)
        self.fp: Any = reader
        super().begin()
        if self.fp is reader:
            self.fp = reader.raw
        if reader.last not in (b"\r\n", b"\n"):
            self.close()
            raise ConnectionResetError("closed within the response head")


class _CheckedConnection(HTTPConnection):
    """Connection that runs the send check just before the first byte of a request.

    ``has_refused`` is set once a request on it was refused or failed: a faulty server
    may repeat that response, which could not be told from one to the next request.
    """

    response_class = _WholeHeadResponse
    has_refused = False

    def send(self, data: Any) -> None:
        """Send bytes of a request; raise SendCheckFailedError if rejected."""
        call = _CURRENT_CALL.get()
        if call is not None and not call.sent:
            if self.sock is None:
                self.connect()
            if not call.send_check():
                raise SendCheckFailedError
            call.sent = True
        super().send(data)

    def getresponse(self) -> Any:
        """Read the head of a response."""
        response = super().getresponse()
        self.has_refused = response.status >= HTTPStatus.BAD_REQUEST
        return response


class _CheckedPool(HTTPConnectionPool):
    """Pool whose connections are used again only after successes."""

    ConnectionCls = _CheckedConnection

    def _put_conn(self, conn: Any) -> None:
        if isinstance(conn, _CheckedConnection) and conn.has_refused:
            conn.close()
        super()._put_conn(conn)


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Failed request; ``sent`` if the server may have received any of its bytes."""

    sent: bool
    timed_out: bool
    refused_by_check: bool
    detail: str


def _always_allow() -> bool:
    return True


class HttpClient:
    """HTTP client with one connection pool per address and no automatic retries."""

    def __init__(self, cfg: Settings) -> None:
        self._source_address = (str(cfg.vm.address), 0)
        self._pools: dict[tuple[str, int], _CheckedPool] = {}

    def get_pool(self, host: str, port: int) -> _CheckedPool:
        """Return the connection pool of an address; create it if there is none."""
        pool = self._pools.get((host, port))
        if pool is None:
            pool = self._make_pool(host, port)
            self._pools[(host, port)] = pool
        return pool

    def _make_pool(self, host: str, port: int) -> _CheckedPool:
        options = [
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        ]
        return _CheckedPool(
            host,
            port,
            maxsize=MAX_IDLE_CONNECTIONS_PER_HOST,
            block=False,
            retries=False,
            source_address=self._source_address,
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
        send_check: SendCheck = _always_allow,
        preload: bool = True,
        new_connection: bool = False,
    ) -> Result[urllib3.BaseHTTPResponse, HttpFailure]:
        """Send one request, without retries.

        ``new_connection`` bypasses the pool, so that a failure before the write is
        certain not to have reached the server. Without ``preload`` the caller reads and
        closes the response.
        """
        pool = (
            self._make_pool(host, port) if new_connection else self.get_pool(host, port)
        )
        call = _CallState(send_check)
        context_token = _CURRENT_CALL.set(call)
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
        except SendCheckFailedError:
            return Err(HttpFailure(False, False, True, "the lease has expired"))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            # A refused connection raises NewConnectionError, which urllib3 derives
            # from its timeout errors.
            timed_out = isinstance(
                exc, urllib3.exceptions.TimeoutError | TimeoutError
            ) and not isinstance(exc, urllib3.exceptions.NewConnectionError)
            return Err(HttpFailure(call.sent, timed_out, False, describe_error(exc)))
        finally:
            _CURRENT_CALL.reset(context_token)
            if new_connection and preload:
                pool.close()


def describe_error(exc: Exception) -> str:
    """Return the type and message of an exception, without object addresses."""
    text = str(exc)
    _, _, tail = text.rpartition(": ")
    return f"{type(exc).__name__}: {tail or text}"
