"""Sockets of platform mode: callers, probes and runners."""

from ._callers import CallerServer
from ._probes import ProbeServer
from ._runners import RunnerConnectionPool

__all__ = ["CallerServer", "RunnerConnectionPool", "ProbeServer"]
