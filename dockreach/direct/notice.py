"""The status that an endpoint reports of itself in the headers of a response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class InvalidValue(NamedTuple):
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
class EndpointNotice:
    """The status that an endpoint reports of itself in the headers of a response.

    Attributes:
        rate: Requests a second that it accepts from all entries together; ``None`` if it
            reports no limit.
        is_leaving: Whether it is shutting down and accepts no new requests.
        backoff_s: Time for which this entry should send it no requests (back-off), in
            seconds; ``None`` if it requests none.
    """

    rate: float | None | InvalidValue = None
    is_leaving: bool | InvalidValue = False
    backoff_s: float | None | InvalidValue = None

    @property
    def invalid_values(self) -> list[InvalidValue]:
        """The values that could not be parsed."""
        values = (self.rate, self.is_leaving, self.backoff_s)
        return [value for value in values if isinstance(value, InvalidValue)]


NO_NOTICE = EndpointNotice()
"""The notice of a response without status headers."""
