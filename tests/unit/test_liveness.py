"""Peers are judged by their answers to pings."""

from __future__ import annotations

from gooseberryrun._internal.transport._liveness import Liveness, Verdict

TIMEOUT_S = 0.4


def test_owner_that_answers_pings_is_not_silent_however_long_a_load_takes() -> None:
    """Replays trouble-3: a question for an adapter waited 0.45 s and was given up."""
    liveness = Liveness(TIMEOUT_S)
    verdicts = []
    for tick in range(1, 16):
        now = tick * 0.1
        verdict = liveness.judge(0.01, now)
        verdicts.append(verdict)
        if verdict is Verdict.PING:
            liveness.hear(now + 0.003)
    assert Verdict.SILENT not in verdicts
    assert verdicts.count(Verdict.PING) > 3


def test_peer_is_pinged_before_it_is_taken_as_silent() -> None:
    liveness = Liveness(TIMEOUT_S)
    assert liveness.judge(0.0, 0.49) is Verdict.PING
    assert liveness.judge(0.0, 0.8) is Verdict.LEAVE
    assert liveness.judge(0.0, 0.9) is Verdict.SILENT
    assert liveness.is_silent


def test_silent_peer_is_pinged_until_it_answers() -> None:
    liveness = Liveness(TIMEOUT_S)
    liveness.judge(0.0, 0.3)
    liveness.judge(0.0, 0.8)
    assert liveness.judge(None, 0.9) is Verdict.LEAVE
    assert liveness.judge(None, 1.1) is Verdict.PING
    liveness.hear(1.2)
    assert not liveness.is_silent
    assert liveness.judge(None, 5.0) is Verdict.LEAVE


def test_idle_peer_costs_nothing() -> None:
    liveness = Liveness(TIMEOUT_S)
    assert {liveness.judge(None, n / 10) for n in range(100)} == {Verdict.LEAVE}
