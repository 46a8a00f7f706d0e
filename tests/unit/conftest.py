"""Selects the eventlet hub, and the same random choices in each run."""

import random

import eventlet.hubs
import pytest
from gooseberryrun._hub import Hub
from gooseberryrun._internal.coordination import bind_request
from hypothesis import settings

eventlet.hubs.use_hub(Hub)
settings.register_profile("repeatable", derandomize=True, deadline=None)
settings.load_profile("repeatable")


@pytest.fixture(autouse=True)
def _same_choices() -> None:
    """Begin each test with the same random choices of the code that it tests."""
    random.seed(1)


@pytest.fixture(autouse=True)
def _no_bound_request() -> None:
    """Forget the request that an earlier test of this process has bound.

    Tests that call the gateway in their own thread bind one, and log lines of the tests
    after them would name it.
    """
    bind_request("")
