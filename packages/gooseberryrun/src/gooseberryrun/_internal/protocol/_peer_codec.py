"""MessagePack codec of the messages between entry VMs."""

from __future__ import annotations

import typing
from typing import Any

import msgspec
from result import Err, Ok, Result

from gooseberryrun._internal.coordination import PeerMessage

_TYPES: dict[str, type] = {cls.__name__: cls for cls in typing.get_args(PeerMessage)}
_DECODERS: dict[str, Any] = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in _TYPES.items()
}
_ENCODER = msgspec.msgpack.Encoder()


def encode_message(message: PeerMessage) -> tuple[str, bytes]:
    """Return the kind and the encoded body of a message."""
    return type(message).__name__, _ENCODER.encode(message)


def decode_message(kind: str, body: bytes) -> Result[PeerMessage, str]:
    """Return the decoded message, or a message that states why it is invalid."""
    decoder = _DECODERS.get(kind)
    if decoder is None:
        return Err(f"unknown message kind {kind!r}")
    try:
        message: PeerMessage = decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Err(f"{kind}: {exc}")
    return Ok(message)
