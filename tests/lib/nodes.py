"""Settings and VMs for unit tests."""

from __future__ import annotations

import gooseberryrun._internal.state as state

CFG = state.Settings.model_validate(
    {
        "vm": {"id": "a", "domain": "d", "address": "127.0.0.1"},
        "peer": {"secret": "s"},
        "operator": {"token": "t"},
        "platform": {"log_url": "u", "store_url": "u", "vm_list_url": "u"},
    }
)
ENTRY_VMS = [
    state.Vm(vm, state.VmKind.ENTRY, "d", f"127.0.0.{number}", 1, 2)
    for number, vm in enumerate("abc", 1)
]
ENGINE = state.Vm(
    "engine-1", state.VmKind.ENGINE, "d", "127.0.0.9", 1, slots=2, batch=4
)
