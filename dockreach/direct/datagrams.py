"""Encoding of the messages that entries send each other as datagrams."""

from __future__ import annotations

import msgspec

from .. import _decoding
from ..errors import WireError
from .digest import CrashUpdate, Digest
from .relayed_notice import NoticeUpdate
from .slot_messages import SlotReply, SlotState
from .stream_messages import StreamQuestion, StreamReport

MAX_DATAGRAM_BYTES = 60_000
"""Largest message that is sent; a UDP datagram holds up to 65,507 bytes."""

Message = (
    Digest
    | SlotState
    | SlotReply
    | CrashUpdate
    | NoticeUpdate
    | StreamReport
    | StreamQuestion
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message.

    Raises:
        WireError: The bytes are not a valid message.
    """
    return _decoding.decode(
        _DECODER, data, lambda problem: WireError(f"invalid gossip message: {problem}")
    )
