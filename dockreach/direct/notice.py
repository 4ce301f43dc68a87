"""The status that an endpoint reports of itself in the headers of a response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class Unreadable(NamedTuple):
    """Takes the place of a header value that could not be parsed.

    Attributes:
        name: Name of the header.
        value: Its text.
        problem: Why it is not valid.
    """

    name: str
    value: str
    problem: str

    def __bool__(self) -> bool:
        """Return ``False``, so that it is never mistaken for a value that is set."""
        return False


@dataclass(frozen=True, slots=True)
class Notice:
    """The status that an endpoint reports of itself in the headers of a response.

    Attributes:
        rate: Requests a second that it accepts from all entries together; ``None`` if it
            reports no limit.
        is_leaving: Whether it is shutting down and accepts no new requests.
        rest_s: Time for which this entry should send it no requests (back-off), in
            seconds; ``None`` if it requests none.
    """

    rate: float | None | Unreadable = None
    is_leaving: bool | Unreadable = False
    rest_s: float | None | Unreadable = None

    @property
    def unreadable(self) -> list[Unreadable]:
        """The values that could not be parsed."""
        values = (self.rate, self.is_leaving, self.rest_s)
        return [value for value in values if isinstance(value, Unreadable)]


NO_NOTICE = Notice()
"""The notice of a response without status headers."""
