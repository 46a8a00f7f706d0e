"""Conversion of the locks that exist before eventlet patches the standard library.

Eventlet looks for them by following the attributes of all modules and all that these
refer to, which takes a fifth of the processor time of a start. The garbage collector
knows the locks, and what refers to them.
"""

from __future__ import annotations

import gc
from typing import Any

import eventlet.green.thread
from eventlet import patcher


def convert_existing_locks(rlock_type: type) -> None:
    """Replace all reentrant locks by ones that let other green threads run."""
    thread_id = eventlet.green.thread.get_ident()
    locks = [found for found in gc.get_objects() if type(found) is rlock_type]
    converted = {
        id(lock): patcher._convert_py3_rlock(lock, thread_id) for lock in locks
    }
    for holder in gc.get_referrers(*locks) if locks else []:
        if holder is not locks:
            _replace_items(holder, converted)


def _replace_items(holder: Any, converted: dict[int, Any]) -> None:
    """Replace the locks among the items or attributes of an object."""
    if isinstance(holder, list):
        for number, item in enumerate(holder):
            holder[number] = converted.get(id(item), item)
        return
    items = holder if isinstance(holder, dict) else getattr(holder, "__dict__", {})
    for name, item in list(items.items()):
        if id(item) in converted:
            items[name] = converted[id(item)]
