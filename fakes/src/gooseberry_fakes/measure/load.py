"""Closed-loop load over loopback, and processor time and memory of processes."""

from __future__ import annotations

import asyncio
import json
import os
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Result of a closed-loop load; times in seconds."""

    requests: int
    failures: int
    seconds: float
    latencies: list[float]

    def quantile(self, share: float) -> float:
        """Return the quantile of the latencies at ``share``, from 0 to 1."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(len(ordered) * share))]

    @property
    def rate(self) -> float:
        """Requests per second."""
        return self.requests / self.seconds


def read_cpu_s(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def _send_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes
) -> int:
    """Send one request, read its whole response and return the status."""
    writer.write(request)
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split(b" ", 2)[1])
    lowered = head.lower()
    if b"transfer-encoding: chunked" in lowered:
        await reader.readuntil(b"\r\n0\r\n\r\n")
        return status
    length = int(lowered.split(b"content-length:")[1].split(b"\r\n")[0])
    await reader.readexactly(length)
    return status


async def _send_requests(
    address: tuple[str, int], request: bytes, count: int, latencies: list[float]
) -> int:
    """Send the requests of one connection and return the number of failures."""
    failures = 0
    reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
    for _ in range(count):
        started = time.perf_counter()
        failures += await _send_request(reader, writer, request) >= 400
        latencies.append(time.perf_counter() - started)
    writer.close()
    return failures


def make_request(path: str, body: dict[str, Any], headers: dict[str, str]) -> bytes:
    """Return the bytes of a POST request on a persistent connection."""
    data = json.dumps(body).encode()
    lines = [f"POST {path} HTTP/1.1", "Host: measure", f"Content-Length: {len(data)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


def run_load(
    address: tuple[str, int], request: bytes, workers: int, count: int
) -> LoadResult:
    """Send ``count`` requests in sequence over each of ``workers`` connections."""
    latencies: list[float] = []

    async def run() -> int:
        tasks = [
            _send_requests(address, request, count, latencies) for _ in range(workers)
        ]
        return sum(await asyncio.gather(*tasks))

    started = time.perf_counter()
    failures = asyncio.run(run())
    seconds = time.perf_counter() - started
    return LoadResult(workers * count, failures, seconds, latencies)
