"""A complete session of callers over HTTP, compared with a golden file.

Ids and times are normalised. To accept an intended change, delete
``tests/golden/callers.txt``, run this test twice and review the diff.
"""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

from gooseberry_fakes.cluster import Cluster, Reply

from tests.lib.clusters import run_cluster
from tests.lib.traffic import wait_until

GOLDEN = Path(__file__).parents[1] / "golden" / "callers.txt"
ONE_DOMAIN: dict[str, Any] = {"domains": ("dakar",), "engines": (1,), "services": (1,)}
SHOWN_HEADERS = ("content-type", "x-outcome", "location", "retry-after")
_PATTERNS = (
    (re.compile(r"\b\d{10}\.\d+"), "<time>"),
    (re.compile(r"127\.\d+\.\d+\.\d+"), "<address>"),
    (re.compile(r"\b[0-9a-f]{32}\.\d+"), "<engine request>"),
    (re.compile(r"\b[0-9a-f]{32}-[0-9a-f]{8}\.\d+"), "<engine request>"),
    (re.compile(r"\b[0-9a-f]{24}-[0-9a-f]{8}\.\d+"), "<engine request>"),
    (re.compile(r"\b[0-9a-f]{32}\b"), "<request>"),
    (re.compile(r"\b[0-9a-f]{24}\b"), "<job>"),
)


def normalise(text: str) -> str:
    for pattern, replacement in _PATTERNS:
        text = pattern.sub(replacement, text)
    return text


class Session:
    """Sends requests and records the transcript."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.lines: list[str] = []

    def send(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        reply = self._cluster.send("dakar-1", method, path, body, headers)
        shown = {name: reply.headers.get(name) for name in SHOWN_HEADERS}
        self.lines.append(f"> {method} {normalise(path)} {headers or ''}".rstrip())
        if body is not None:
            self.lines.append(
                f"> {body if isinstance(body, str) else json.dumps(body)}"
            )
        self.lines.append(f"< {reply.status}")
        self.lines += [
            f"< {name}: {normalise(value)}" for name, value in shown.items() if value
        ]
        text = normalise(reply.body.decode("utf-8", "replace")).rstrip()
        self.lines += [f"< {line}" for line in text.splitlines() if line]
        self.lines.append("")
        return reply


def test_session_of_callers(tmp_path: Path) -> None:
    prompt = {"model": "a1@1", "prompt": "fold a crane", "max_tokens": 3}
    chat = [{"role": "user", "content": "fold a crane"}]
    with run_cluster(tmp_path, **ONE_DOMAIN) as cluster:
        session = Session(cluster)
        session.send("GET", "/readyz")
        session.send("POST", "/v1/completions", prompt)
        session.send("POST", "/v1/completions", {**prompt, "stream": True})
        chat_body = {"model": "a1@1", "messages": chat, "max_tokens": 2}
        session.send("POST", "/v1/chat/completions", chat_body)
        job = session.send("POST", "/v1/completions", {**prompt, "background": True})
        path = job.headers["location"]
        wait_until(
            lambda: cluster.send("dakar-1", "GET", path).json()["status"] == "done",
            20,
            "the job is done",
        )
        done = session.send("GET", path)
        assert done.json()["status"] == "done"
        session.send("GET", "/v1/jobs/000000000000000000000000")
        session.send("POST", "/v1/completions", {**prompt, "model": "unknown@9"})
        session.send("POST", "/v1/completions", {**prompt, "model": "no version"})
        session.send("POST", "/v1/completions", {"model": "a1@1"})
        session.send("GET", "/services/orders/stock")
        session.send("POST", "/services/orders/bookings", {"children": 9})
        key = {"Idempotency-Key": "party-1"}
        session.send("POST", "/services/orders/bookings", {"children": 9}, key)
        session.send("POST", "/services/orders/bookings", {"children": 9}, key)
        session.send("POST", "/services/orders/bookings", {"children": 8}, key)
        session.send("GET", "/services/kits/stock")
        session.send("GET", "/nowhere")
        wrong = {"Authorization": "Bearer wrong"}
        command = {"command": "show vms"}
        session.send("POST", "/operator/v1/command", command, wrong)
    transcript = "\n".join(session.lines)
    if not GOLDEN.exists():
        GOLDEN.write_text(transcript, encoding="utf-8")
        raise AssertionError("the golden file was missing and has been written")
    assert transcript == GOLDEN.read_text(encoding="utf-8")
