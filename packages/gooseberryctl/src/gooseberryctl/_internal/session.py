"""HTTP client of the operator interface of entry VMs."""

from __future__ import annotations

import getpass
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

import urllib3

from .exceptions import RefusedError, UnknownOutcomeError, UnreachableError

READ_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Session:
    """Entry VMs to try in order, as ``address:port``, and the operator's token."""

    servers: tuple[str, ...]
    token: str
    as_json: bool

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send a command to the first entry VM that accepts a connection.

        Raises `UnreachableError`, `RefusedError` or `UnknownOutcomeError`.
        """
        failures = []
        for server in self.servers:
            try:
                return self._post_to(server, path, body)
            except urllib3.exceptions.NewConnectionError as exc:
                failures.append(f"{server}: {exc}")
            except urllib3.exceptions.ConnectTimeoutError:
                failures.append(f"{server}: connect timeout")
        raise UnreachableError("no entry VM is reachable: " + "; ".join(failures))

    def get(self, path: str, fields: list[tuple[str, str]]) -> dict[str, Any]:
        """Read from the first entry VM that answers, without a token.

        Raises `UnreachableError` or `RefusedError`.
        """
        failures = []
        for server in self.servers:
            host, _, port = server.rpartition(":")
            timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
            try:
                with urllib3.HTTPConnectionPool(host, int(port), retries=False) as pool:
                    response = pool.request(
                        "GET", f"{path}?{urlencode(fields)}", timeout=timeout
                    )
                result: dict[str, Any] = json.loads(response.data)
            except (urllib3.exceptions.HTTPError, ValueError) as exc:
                failures.append(f"{server}: {exc}")
                continue
            if response.status != 200:
                raise RefusedError(str(result.get("error", response.status)))
            return result
        raise UnreachableError("no entry VM answered: " + "; ".join(failures))

    def _post_to(self, server: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
        host, _, port = server.rpartition(":")
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        pool = urllib3.HTTPConnectionPool(host, int(port), retries=False)
        try:
            response = pool.urlopen(
                "POST",
                path,
                body=json.dumps({**body, "operator": getpass.getuser()}),
                headers={"Authorization": f"Bearer {self.token}"},
                timeout=timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            raise
        except urllib3.exceptions.HTTPError as exc:
            raise UnknownOutcomeError(
                f"no complete response from {server}: {exc}"
            ) from exc
        finally:
            pool.close()
        return _decode(response.status, response.data)


def _decode(status: int, data: bytes) -> dict[str, Any]:
    try:
        response: dict[str, Any] = json.loads(data)
    except ValueError as exc:
        raise UnknownOutcomeError(f"response with status {status} is not JSON") from exc
    if status == 200:
        return response
    detail = str(response.get("detail", f"status {status}"))
    if response.get("outcome") == "unknown":
        raise UnknownOutcomeError(detail)
    raise RefusedError(detail)
