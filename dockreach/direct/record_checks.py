"""Checks endpoints' records, from the platform's store and from the views of peers.

Any client of the store may write a record. One that no socket, message or sum can hold
would fail later, in the rounds that place the requests of all others.
"""

from __future__ import annotations

import enum
import re

from ..addresses import ADDRESS_PATTERN
from ..errors import RevisionError
from .endpoints import Published
from .message_checks import MAX_LOAD_FIGURE

MAX_SLOTS = MAX_LOAD_FIGURE
"""Most slots that an endpoint may have."""

MAX_COUNT = 2**63 - 1
"""Largest start time or sequence number: messages hold numbers of 64 bits."""

MAX_COLD_S = 86_400.0
"""Longest warm-up that an endpoint may report, in seconds."""

MAX_LOGGED_CHARACTERS = 64
"""Characters of an invalid value that are logged."""

_ADDRESS = re.compile(ADDRESS_PATTERN)


class RecordFault(enum.StrEnum):
    """Why a record is not used."""

    NESTING = "nesting"
    """It is nested too deeply to be decoded."""

    NUMBER = "number"
    """A number is out of range."""

    ADDRESS = "address"
    """Its address is none that a socket can connect to."""

    FORM = "form"
    """It cannot be decoded, or a field is missing, empty or of another type."""

    INTERNAL = "internal"
    """An unexpected error was raised while it was decoded or applied."""


class RecordError(RevisionError):
    """An endpoint's record is not valid.

    Args:
        problem: What is not valid.
        fault: The kind of problem.
    """

    def __init__(self, problem: str, fault: RecordFault) -> None:
        self.fault = fault
        super().__init__(f"not an endpoint's record: {problem}")


def check_record(record: Published) -> None:
    """Check the fields of an endpoint's record.

    Raises:
        RecordError: One of them is not valid.
    """
    # The id is sent as a header.
    if not record.id.isprintable():
        raise RecordError(f"id {_shorten(record.id)}", RecordFault.FORM)
    for name, text in (
        ("id", record.id),
        ("service", record.service),
        ("data hall", record.hall),
    ):
        if not text:
            raise RecordError(f"{name} is empty", RecordFault.FORM)
    if not _ADDRESS.fullmatch(record.address):
        raise RecordError(f"address {_shorten(record.address)}", RecordFault.ADDRESS)
    for name, value, least, most in (
        ("slots", record.slots, 1, MAX_SLOTS),
        ("start time", record.born, 0, MAX_COUNT),
        ("sequence", record.sequence, 0, MAX_COUNT),
        ("revision", record.revision, 0, MAX_COUNT),
        ("revision of its registration", record.registered_revision, 0, MAX_COUNT),
        ("warm-up in seconds", record.cold_s, 0.0, MAX_COLD_S),
    ):
        if not least <= value <= most:
            raise RecordError(f"{name} {_shorten(value)}", RecordFault.NUMBER)


def _shorten(value: object) -> str:
    return repr(value)[:MAX_LOGGED_CHARACTERS]
