"""Command line that runs a stand-in as a process."""

from __future__ import annotations

import ipaddress
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import click  # noqa: E402
import eventlet  # noqa: E402

eventlet.monkey_patch()

from gooseberry_fakes.engine import EngineOptions, FakeEngine  # noqa: E402
from gooseberry_fakes.log import FakeLog  # noqa: E402
from gooseberry_fakes.relay import FakeRelay, read_routes  # noqa: E402
from gooseberry_fakes.service import FakeService  # noqa: E402
from gooseberry_fakes.store import FakeStore  # noqa: E402
from gooseberry_fakes.vms import FakeVmList  # noqa: E402


@click.group()
def main() -> None:
    """Run one stand-in."""


@main.command()
@click.argument("address")
@click.argument("port", type=int)
@click.option("--slots", default=4)
@click.option("--batch", default=8)
@click.option("--token-s", default=0.01)
@click.option("--checks-fencing", is_flag=True)
@click.option("--store-url", required=True)
@click.option("--restart-s", default=1.0)
@click.option("--count", default=1, help="Number of engines, on consecutive addresses.")
def engine(
    address: str,
    port: int,
    slots: int,
    batch: int,
    token_s: float,
    checks_fencing: bool,
    store_url: str,
    restart_s: float,
    count: int,
) -> None:
    """Run an engine, or several on consecutive addresses."""
    options = EngineOptions(slots, batch, token_s, checks_fencing, store_url, restart_s)
    first = ipaddress.IPv4Address(address)
    green_threads = [
        eventlet.spawn(FakeEngine(str(first + index), port, options).run)
        for index in range(count)
    ]
    for green_thread in green_threads:
        green_thread.wait()


@main.command()
@click.argument("address")
@click.argument("port", type=int)
@click.option("--lookup", is_flag=True)
@click.option("--fencing", is_flag=True)
def service(address: str, port: int, lookup: bool, fencing: bool) -> None:
    """Run a plain service."""
    FakeService(address, port, lookup, fencing).run()


@main.command()
@click.argument("address")
@click.argument("port", type=int)
@click.option("--appends-per-s", default=300.0)
@click.option("--retention-s", default=3600.0)
def log(address: str, port: int, appends_per_s: float, retention_s: float) -> None:
    """Run the log."""
    FakeLog(address, port, appends_per_s, retention_s).run()


@main.command()
@click.argument("address")
@click.argument("port", type=int)
@click.option("--rate", default=2.0)
@click.option("--load-s", default=0.25)
@click.option("--in-flight", default=8)
def store(address: str, port: int, rate: float, load_s: float, in_flight: int) -> None:
    """Run the weight store."""
    FakeStore(address, port, rate, load_s, in_flight).run()


@main.command()
@click.argument("address")
@click.argument("port", type=int)
@click.option("--lag-s", default=0.5)
def vms(address: str, port: int, lag_s: float) -> None:
    """Run the VM list."""
    FakeVmList(address, port, lag_s).run()


@main.command()
@click.argument("address")
@click.argument("port", type=int)
@click.argument("routes")
def relay(address: str, port: int, routes: str) -> None:
    """Run the relay between entry VMs."""
    FakeRelay(address, port, read_routes(routes)).run()


if __name__ == "__main__":
    main()
