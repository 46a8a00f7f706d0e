"""External services used by serving by routes."""

from __future__ import annotations

from dataclasses import dataclass

from ._control_port import RunnerControl
from ._request_ports import HeaderCodec, RunnerRequests
from ._store_port import ControlStore


@dataclass(frozen=True, slots=True)
class Ports:
    """External services used by serving."""

    store: ControlStore
    codec: HeaderCodec
    requests: RunnerRequests
    control: RunnerControl
