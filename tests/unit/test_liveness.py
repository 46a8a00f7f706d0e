"""A peer counts as silent only if it leaves pings unanswered."""

from __future__ import annotations

from gooseberryrun._internal.transport._liveness import Liveness, LivenessAction

TIMEOUT_S = 0.4


def test_owner_that_answers_pings_is_not_silent_however_long_a_load_takes() -> None:
    """Guards against abandoning a slow request to a healthy owner.

    In trouble-3 a request that waited 0.45 s for an adapter was abandoned.
    """
    liveness = Liveness(TIMEOUT_S)
    actions = []
    for tick in range(1, 16):
        now = tick * 0.1
        action = liveness.next_action(0.01, now)
        actions.append(action)
        if action is LivenessAction.PING:
            liveness.record_contact(now + 0.003)
    assert LivenessAction.MARK_SILENT not in actions
    assert actions.count(LivenessAction.PING) > 3


def test_peer_is_pinged_before_it_is_taken_as_silent() -> None:
    liveness = Liveness(TIMEOUT_S)
    assert liveness.next_action(0.0, 0.49) is LivenessAction.PING
    assert liveness.next_action(0.0, 0.8) is LivenessAction.WAIT
    assert liveness.next_action(0.0, 0.9) is LivenessAction.MARK_SILENT
    assert liveness.is_silent


def test_silent_peer_is_pinged_until_it_answers() -> None:
    liveness = Liveness(TIMEOUT_S)
    liveness.next_action(0.0, 0.3)
    liveness.next_action(0.0, 0.8)
    assert liveness.next_action(None, 0.9) is LivenessAction.WAIT
    assert liveness.next_action(None, 1.1) is LivenessAction.PING
    liveness.record_contact(1.2)
    assert not liveness.is_silent
    assert liveness.next_action(None, 5.0) is LivenessAction.WAIT


def test_idle_peer_costs_nothing() -> None:
    liveness = Liveness(TIMEOUT_S)
    assert {liveness.next_action(None, n / 10) for n in range(100)} == {
        LivenessAction.WAIT
    }
