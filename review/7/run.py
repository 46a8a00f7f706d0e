"""A runner stops in the middle of an event, and its chunked answer ends there."""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from standins import MODEL, Site, Traffic, route, run_case, send

PLAY_S = 30.0
PER_S = 12.0
BROKEN_SHARE = 0.05
"""Share of the answers of one runner in three that it breaks off, as in the sites."""


def play(folder: Path, is_troubled: bool) -> list[str]:
    """Play the case; return the streams that look complete and are not."""
    site = Site(folder, {"dakar-a": 1, "dakar-b": 1, "dakar-c": 1})
    broken: list[str] = []
    try:
        for zone in site.zones:
            site.add_runner(f"atelier-{zone}", "atelier-ai", zone, True)
        faulty = site.runners[0]
        if is_troubled:
            faulty.breaks_off = lambda _name: random.random() < BROKEN_SHARE
        site.add_vms()
        site.configure(
            [
                route("guide", "stream", "atelier-ai"),
                route("plan", "stream", "atelier-ai", resumable=True, max_attempts=2),
            ]
        )
        site.start()
        time.sleep(8.0)
        vms = list(site.vms.values())

        def ask(number: int) -> None:
            path = random.choice(["/guide/1", "/plan/1"])
            model = f"{MODEL}/a{random.randrange(1, 9)}"
            counts = {
                "X_Gooseberryrun_Model": model,
                "X_Gooseberryrun_Token_Count": "600,22",
            }
            answer = send(
                site,
                random.choice(vms),
                "POST",
                path,
                f"r{number}",
                b"p",
                5000,
                **counts,
            )
            last = f"id: {faulty.events}\ndata: r{number}\n\n".encode()
            if (
                answer.status == 200
                and answer.is_whole
                and not answer.body.endswith(last)
            ):
                broken.append(
                    f"r{number} on {path} ended as complete with {answer.body[-24:]!r}"
                )

        traffic = Traffic(PER_S, ask)
        time.sleep(PLAY_S)
        traffic.stop(8.0)
        return broken
    finally:
        site.close()


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
