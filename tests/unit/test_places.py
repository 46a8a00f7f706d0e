"""Priorities of the semaphore that the stand-in engine uses for its batch."""

from __future__ import annotations

import eventlet
from gooseberry_fakes.priority_semaphore import PrioritySemaphore

INTERACTIVE, BACKGROUND = 0, 10


def test_quick_request_takes_the_place_of_a_patient_one_that_gives_way() -> None:
    semaphore = PrioritySemaphore(1)
    order: list[str] = []

    def background() -> None:
        semaphore.acquire(BACKGROUND)
        for step in range(3):
            semaphore.yield_to_higher(BACKGROUND)
            order.append(f"patient {step}")
            eventlet.sleep(0)
        semaphore.release()

    def interactive() -> None:
        semaphore.acquire(INTERACTIVE)
        order.append("quick")
        semaphore.release()

    threads = [eventlet.spawn(background), eventlet.spawn(interactive)]
    for thread in threads:
        thread.wait()
    assert order == ["patient 0", "quick", "patient 1", "patient 2"]


def test_request_that_stops_waiting_leaves_its_turn_to_the_next() -> None:
    semaphore = PrioritySemaphore(1)
    semaphore.acquire(INTERACTIVE)
    first = eventlet.spawn(semaphore.acquire, INTERACTIVE)
    second = eventlet.spawn(semaphore.acquire, BACKGROUND)
    eventlet.sleep(0)
    first.kill()
    semaphore.release()
    eventlet.sleep(0)
    assert second.dead
    semaphore.release()
    semaphore.acquire(BACKGROUND)
