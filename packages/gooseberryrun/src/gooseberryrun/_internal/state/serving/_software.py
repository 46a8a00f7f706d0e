"""Versions of runners' software, and where streams that callers may take up began.

Made for loads in which runners of several versions serve one service: what two versions
write does not fit together, so a stream goes on only at the version that began it. A
caller may take it up at any VM, also at one that has just started.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

from ._runners import Runner

_UNDECLARED_PREFIX = "?"
ENDED_VERSION_TTL_S = 60.0
"""Time for which a version without runners counts: longer than callers take streams
up."""
MAX_ENDED_VERSIONS = 100
"""Ended versions that are kept for each service, the latest ones."""
MAX_ORIGINS = 20_000
"""Origins that are kept, the latest ones."""
MAX_ORIGIN_S = 600.0
"""Longest time for which an origin is kept."""


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Software version of the runner that a caller's request for a stream was sent to.

    The caller waits ``left_s`` seconds more, after which it cannot take the stream up.
    """

    request: str
    service: str
    software: str
    left_s: float


def undeclared_software(runner_id: str, born_ms: int) -> str:
    """Return the version that an incarnation counts as until its entry is read."""
    return f"{_UNDECLARED_PREFIX}{runner_id}/{born_ms}"


def is_undeclared(software: str) -> bool:
    """Return whether a version is one that no entry has named."""
    return software.startswith(_UNDECLARED_PREFIX)


class SoftwareVersions:
    """Versions that serve each service, those that ended lately included."""

    def __init__(self) -> None:
        self._serving: dict[str, Counter[str]] = {}
        self._ended: dict[str, dict[str, float]] = {}

    def replace(self, before: Runner | None, after: Runner | None, now: float) -> None:
        """Count a runner that was registered, removed or registered anew."""
        if after is not None:
            counts = self._serving.setdefault(after.service, Counter())
            counts[after.software_version] += 1
        if before is None:
            return
        counts = self._serving[before.service]
        counts[before.software_version] -= 1
        if counts[before.software_version] <= 0:
            del counts[before.software_version]
            self.record_seen(before.service, before.software_version, now)

    def record_seen(self, service: str, software: str, now: float) -> None:
        """Record that a version served a service until now.

        One that counted only until a runner's entry was read is not kept.
        """
        if is_undeclared(software):
            return
        ended = self._ended.setdefault(service, {})
        ended.pop(software, None)
        ended[software] = now
        while len(ended) > MAX_ENDED_VERSIONS:
            del ended[next(iter(ended))]

    def lately(self, service: str, now: float) -> set[str]:
        """Return the versions that serve a service or did so lately."""
        ended = self._ended.get(service, {})
        found = {
            software
            for software, at in ended.items()
            if now - at <= ENDED_VERSION_TTL_S
        }
        found.update(self._serving.get(service, ()))
        return found

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether several versions serve a service or did so lately."""
        return len(self.lately(service, now)) > 1


class _KeptOrigin(msgspec.Struct, frozen=True):
    """Origin of a stream, and the time up to which its caller may take it up."""

    origin: StreamOrigin
    deadline: float


class StreamOrigins:
    """Origins of streams by the id of the request that began them; bounded."""

    def __init__(self) -> None:
        self._kept: dict[str, _KeptOrigin] = {}

    def record(self, origin: StreamOrigin, now: float) -> None:
        """Record an origin; the last one of a request counts."""
        self._kept.pop(origin.request, None)
        deadline = now + min(MAX_ORIGIN_S, max(0.0, origin.left_s))
        self._kept[origin.request] = _KeptOrigin(origin, deadline)
        while len(self._kept) > MAX_ORIGINS:
            del self._kept[next(iter(self._kept))]

    def software_of(self, request: str, service: str, now: float) -> str | None:
        """Return the version that began a stream, None if it is not known."""
        kept = self._kept.get(request)
        if kept is None or now > kept.deadline or kept.origin.service != service:
            return None
        return kept.origin.software

    def of_service(self, service: str, now: float) -> list[StreamOrigin]:
        """Return the origins of a service's streams with the time that is left now."""
        return [origin for origin in self.all(now) if origin.service == service]

    def all(self, now: float) -> list[StreamOrigin]:
        """Return the origins of all streams with the time that is left now."""
        return [
            _with_time_left(kept, now)
            for kept in self._kept.values()
            if now <= kept.deadline
        ]

    def of_requests(self, requests: Iterable[str], now: float) -> list[StreamOrigin]:
        """Return the origins of streams that are known with the time left now."""
        found = [self._kept.get(request) for request in requests]
        return [
            _with_time_left(kept, now)
            for kept in found
            if kept is not None and now <= kept.deadline
        ]

    def expire(self, now: float) -> None:
        """Drop the origins of streams that can no longer be taken up."""
        self._kept = {
            request: kept
            for request, kept in self._kept.items()
            if now <= kept.deadline
        }


def _with_time_left(kept: _KeptOrigin, now: float) -> StreamOrigin:
    """Return an origin with the time for which its caller waits from now on."""
    return msgspec.structs.replace(kept.origin, left_s=kept.deadline - now)
