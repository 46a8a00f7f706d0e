"""Starts an entry VM that is cut off from all runners while a file exists.

Arguments: the file, the runners' ports joined by commas, then those of an entry VM. In
the file stands what new connections meet: ``refused`` or ``silent``. Those from before
live on.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
sys.path[:0] = [
    str(ROOT / "platform" / "src"),
    str(ROOT / "packages" / "gooseberryrun" / "src"),
]

import eventlet  # noqa: E402
import gooseberryrun.__main__  # noqa: E402, F401 (must be first: patches sockets)
from eventlet.green import socket  # noqa: E402
from gooseberryrun_platform.__main__ import main  # noqa: E402

SILENCE_S = 3.0


def cut_off(marker: Path, runner_ports: set[int]) -> None:
    """Let connections to the runners fail while the file exists."""
    connect = socket.create_connection

    def create_connection(address: tuple[str, int], *args: Any, **options: Any) -> Any:
        if address[1] in runner_ports and marker.exists():
            if marker.read_text(encoding="utf-8") == "silent":
                eventlet.sleep(SILENCE_S)
            raise ConnectionRefusedError(f"cut off from {address}")
        return connect(address, *args, **options)

    socket.create_connection = create_connection


if __name__ == "__main__":
    cut_off(Path(sys.argv[1]), {int(port) for port in sys.argv[2].split(",")})
    del sys.argv[1:3]
    main(standalone_mode=False)
    sys.stdout.flush()
    os._exit(0)
