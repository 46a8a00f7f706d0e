"""Batch places of the stand-in engine, by priority."""

from __future__ import annotations

import eventlet
from gooseberry_fakes.places import Places

QUICK, PATIENT = 0, 10


def test_quick_request_takes_the_place_of_a_patient_one_that_gives_way() -> None:
    places = Places(1)
    order: list[str] = []

    def patient() -> None:
        places.acquire(PATIENT)
        for step in range(3):
            places.give_way(PATIENT)
            order.append(f"patient {step}")
            eventlet.sleep(0)
        places.release()

    def quick() -> None:
        places.acquire(QUICK)
        order.append("quick")
        places.release()

    threads = [eventlet.spawn(patient), eventlet.spawn(quick)]
    for thread in threads:
        thread.wait()
    assert order == ["patient 0", "quick", "patient 1", "patient 2"]


def test_request_that_stops_waiting_leaves_its_turn_to_the_next() -> None:
    places = Places(1)
    places.acquire(QUICK)
    first = eventlet.spawn(places.acquire, QUICK)
    second = eventlet.spawn(places.acquire, PATIENT)
    eventlet.sleep(0)
    first.kill()
    places.release()
    eventlet.sleep(0)
    assert second.dead
    places.release()
    places.acquire(PATIENT)
