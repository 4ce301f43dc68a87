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


class VersionSummary(msgspec.Struct, array_like=True):
    """All software versions that an entry knows, at the time of its answer.

    Attributes:
        ages: Time since each version was last listed, in seconds, by service and version.
        known_s: For how long these are all versions that served, up to the last
            confirmation of its list, in whole seconds until now; 0 if it cannot tell.
        confirmed_age_s: Time since the moment up to which it has seen all changes of the
            list, in seconds; infinite if it has no list.
    """

    ages: dict[str, dict[str, float]]
    known_s: int
    confirmed_age_s: float


class StreamReport(msgspec.Struct, array_like=True, tag=6):
    """What an entry knows of some streams, after an event or a question.

    Attributes:
        address: The sender.
        streams: Streams that it knows.
        unknown: Keys that it was asked for and does not know.
        number: Number of the question that it answers; 0 for none.
        versions: The software versions that it knows; ``None`` if it was not asked, or
            cannot tell all of them.
    """

    address: Address
    streams: list[BegunStream]
    unknown: list[bytes] = []
    number: int = 0
    versions: VersionSummary | None = None


class StreamQuestion(msgspec.Struct, array_like=True, tag=7):
    """Asks which software version began some streams.

    Attributes:
        address: Where the answer goes.
        keys: The streams' keys.
        number: Number of the question at its sender, which the answer repeats; 0 if the
            answer need not tell the software versions.
        reads_list: Whether to read the platform's list of endpoints before the answer, as
            the sender does not reach the platform.
    """

    address: Address
    keys: list[bytes]
    number: int = 0
    reads_list: bool = False
