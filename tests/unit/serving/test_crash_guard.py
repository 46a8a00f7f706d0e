"""Exchange of crashes and answers between many VMs."""

from __future__ import annotations

import pytest
from gooseberryrun._internal.coordination.serving._crash_guard import FANOUT

from tests.lib.evidence_fleet import Fleet


@pytest.mark.parametrize(("domains", "vms"), [(3, 9), (3, 72), (20, 440)])
def test_crash_and_answer_reach_all_vms_with_few_messages(
    domains: int, vms: int
) -> None:
    """Telling all VMs from each would take messages by the square of their number."""
    fleet = Fleet(domains, vms)
    names = list(fleet.guards)
    fleet.crash(names[0], 1)
    fleet.deliver()
    assert fleet.knowing() >= 0.99 * vms
    assert fleet.delivered <= FANOUT * vms
    fleet.answer(names[1])
    fleet.deliver()
    assert fleet.knowing() <= 0.01 * vms
    assert fleet.delivered <= 2 * FANOUT * vms


def test_reports_of_cleared_crashes_are_not_passed_on_without_end() -> None:
    fleet = Fleet(3, 9)
    names = list(fleet.guards)
    for number in range(3):
        fleet.crash(names[number], number)
    fleet.answer(names[3])
    fleet.crash(names[4], 0)
    fleet.deliver()
    delivered = fleet.delivered
    assert delivered <= 10 * FANOUT * len(names)
    everything = [guard._all() for guard in fleet.guards.values()]
    for notice in everything:
        fleet.queue.append((names[0], names[5], notice))
    fleet.deliver()
    assert fleet.delivered <= delivered + len(names)
    assert not fleet.knowing()
