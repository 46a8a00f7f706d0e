"""Tasks that grant slots of plain servers, and get them for this VM's requests."""

from gooseberryrun._internal.state.serving.admission import MAX_ASKS

from ._plain_slots import PlainSlots

__all__ = ["MAX_ASKS", "PlainSlots"]
