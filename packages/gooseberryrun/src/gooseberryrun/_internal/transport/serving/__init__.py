"""Sockets of platform mode: callers, probes and runners."""

from ._callers import CallerServer
from ._input_bounds import InputBounds
from ._probes import ProbeServer
from ._runners import RunnerConnectionPool

__all__ = ["CallerServer", "InputBounds", "ProbeServer", "RunnerConnectionPool"]
