"""Server that answers with given bytes, for faults that no HTTP library would write."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

Script = Callable[[int, str], bytes]
"""Returns the bytes that answer a request, by its number on its connection and the id
that it names."""


class ScriptedServer:
    """Answers each request by a script; closes after an answer that is cut short."""

    def __init__(self, script: Script, closes_after_answer: bool = False) -> None:
        self._script = script
        self._closes = closes_after_answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        self.connections = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                self.connections += 1
                threading.Thread(target=self._answer, args=[conn], daemon=True).start()

    def _answer(self, conn: socket.socket) -> None:
        number = 0
        with contextlib.suppress(OSError), conn:
            while request := conn.recv(65536).decode():
                number += 1
                request_id = request.partition("request-id: ")[2].partition("\r\n")[0]
                conn.sendall(self._script(number, request_id))
                if self._closes:
                    return

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()
