"""The operator takes the last tenant away, and a client with its key goes on."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from standins import Site, route, run_case, send

CONFIG_APPLY_S = 3.0
KEY = "k-5f0c2b9a"
TENANT = {"name": "notaries", "api_keys": [KEY]}


def play(folder: Path, is_troubled: bool) -> list[str]:
    """Play the case; return the requests that ran with a dropped key or none."""
    site = Site(folder, {"dakar-a": 1, "dakar-b": 1, "dakar-c": 1})
    broken: list[str] = []
    try:
        for zone in site.zones:
            site.add_runner(f"registry-{zone}", "franchise-app", zone, False)
        site.add_vms()
        routes = [route("order", "unsafe", "franchise-app", timeout_ms=4000)]
        site.configure(routes, [TENANT])
        site.start()
        time.sleep(5.0)
        vms = list(site.vms.values())

        def ask(name: str, number: int, key: str) -> tuple[int, dict[str, str] | None]:
            headers = {"Authorization": f"Token {key}"} if key else {}
            vm = vms[number % len(vms)]
            answer = send(site, vm, "POST", "/order/1", name, b"kit", 4000, **headers)
            ran = [r.received[name] for r in site.runners if name in r.received]
            return answer.status, ran[0] if ran else None

        for number in range(6):
            status, ran = ask(f"before-{number}", number, KEY)
            if (
                status != 200
                or ran is None
                or ran.get("x-gooseberryrun-tenant") != "notaries"
            ):
                raise RuntimeError(f"a request with the key got {status}")
            status, ran = ask(f"keyless-{number}", number, "")
            if status != 401 or ran is not None:
                raise RuntimeError(f"a request without a key got {status}")
        site.configure(routes, [] if is_troubled else [TENANT])
        time.sleep(CONFIG_APPLY_S + 2.0)
        for number in range(6):
            for name, key in ((f"dropped-{number}", KEY), (f"none-{number}", "")):
                status, ran = ask(name, number, key)
                if ran is None or (key and not is_troubled):
                    continue
                text = f"{name} got {status} and ran"
                if "authorization" in ran:
                    text += f"; the runner was shown {ran['authorization']!r}"
                broken.append(text)
        return broken
    finally:
        site.close()


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
