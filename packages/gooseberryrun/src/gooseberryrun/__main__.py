"""Entry point of the ``gooseberryrun`` command."""

from __future__ import annotations

import gc
import os
import signal
import warnings

# Imports create no garbage; each mode enables the collector after them.
gc.disable()

# Settings are read at the start anyway; the default action would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# VMs are addressed by IP, so eventlet's DNS resolver would only cost memory.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

# docs/design.md records why eventlet is used although it is in maintenance mode.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402
import eventlet.hubs  # noqa: E402
import eventlet.patcher  # noqa: E402

from gooseberryrun._existing_locks import convert_existing_locks  # noqa: E402
from gooseberryrun._hub import Hub  # noqa: E402

eventlet.hubs.use_hub(Hub)
eventlet.patcher._green_existing_locks = convert_existing_locks
eventlet.monkey_patch()

from gooseberryrun._internal.cli import run  # noqa: E402


def main() -> None:
    """Run the command line."""
    run()


if __name__ == "__main__":
    main()
