"""Calls to the store that another green thread ends."""

from __future__ import annotations

import eventlet
import pytest
from gooseberryrun_platform._http import CallInterruptedError, InterruptibleCall

LONG_S = 60.0
LIMIT_S = 10.0


def test_call_that_waits_is_ended() -> None:
    def wait_long() -> None:
        with InterruptibleCall() as call:
            eventlet.spawn(call.interrupt)
            eventlet.sleep(LONG_S)

    with eventlet.Timeout(LIMIT_S), pytest.raises(CallInterruptedError):
        wait_long()


def test_interruption_that_comes_too_late_has_no_effect() -> None:
    """It would be raised in whatever the green thread does next."""
    with InterruptibleCall() as call:
        call.interrupt()
        call.interrupt()
    eventlet.sleep(0.01)
