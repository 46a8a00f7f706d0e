"""Selects the eventlet hub, and the same property tests in each run."""

import eventlet.hubs
from gooseberryrun._hub import Hub
from hypothesis import settings

eventlet.hubs.use_hub(Hub)
settings.register_profile("repeatable", derandomize=True, deadline=None)
settings.load_profile("repeatable")
