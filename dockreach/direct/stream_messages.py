"""The datagrams by which entries tell each other which software version began a stream."""

from __future__ import annotations

import hashlib

import msgspec

from .digest import Address

STREAM_KEY_BYTES = 8
"""Length of a stream's key."""


def stream_key(stream_rid: str) -> bytes:
    """Return the key of a stream.

    Args:
        stream_rid: Id of the attempt that brought its first event.
    """
    return hashlib.blake2b(
        stream_rid.encode("latin-1", "replace"), digest_size=STREAM_KEY_BYTES
    ).digest()


class BegunStream(msgspec.Struct, array_like=True):
    """A stream of which a caller has events.

    Attributes:
        key: Its key.
        software_version: The version that began it; ``None`` if that cannot be told.
    """

    key: bytes
    software_version: str | None


class StreamReport(msgspec.Struct, array_like=True, tag=6):
    """What an entry knows of some streams, after an event or a question.

    Attributes:
        address: The sender.
        streams: Streams that it knows.
        unknown: Keys that it was asked for and does not know.
    """

    address: Address
    streams: list[BegunStream]
    unknown: list[bytes] = []


class StreamQuestion(msgspec.Struct, array_like=True, tag=7):
    """Asks which software version began some streams.

    Attributes:
        address: Where the answer goes.
        keys: The streams' keys.
    """

    address: Address
    keys: list[bytes]
