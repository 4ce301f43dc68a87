"""Records of endpoints that are not used: one line in the log each, counted by reason."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from ..events import Event, log
from ..metrics import Sample
from .record_checks import RecordFault

MAX_REMEMBERED = 1024
"""Refused records that are remembered as logged, so that reading a list again does not
flood the log."""


class RecordRefusals:
    """Logs and counts the refused records of endpoints.

    An endpoint's record is logged and counted again only when it is refused for another
    reason, or was valid meanwhile.
    """

    def __init__(self) -> None:
        self._counts: Counter[RecordFault] = Counter()
        self._faults: dict[str, RecordFault] = {}

    @property
    def total(self) -> int:
        """Number of refused records since the start."""
        return self._counts.total()

    def count(self, fault: RecordFault) -> int:
        """Return the number of records that were refused for a reason."""
        return self._counts[fault]

    def report(
        self, endpoint: str, fault: RecordFault, problem: str, *, source: str
    ) -> None:
        """Report that the present record of an endpoint is not used.

        Args:
            endpoint: Its id.
            fault: The kind of problem.
            problem: What is not valid.
            source: The peer whose view holds the record, or the platform's store.
        """
        known = self._faults.pop(endpoint, None)
        if known is None and len(self._faults) >= MAX_REMEMBERED:
            del self._faults[next(iter(self._faults))]
        self._faults[endpoint] = fault
        if known is fault:
            return
        self._counts[fault] += 1
        log(
            Event.ENDPOINT_REFUSED,
            problem,
            endpoint=endpoint,
            reason=fault.value,
            source=source,
        )

    def forget(self, endpoint: str) -> None:
        """Forget a refusal: the endpoint's record is valid now, or was deleted."""
        self._faults.pop(endpoint, None)

    def samples(self) -> Iterator[Sample]:
        """Return the number of refused records for each reason."""
        for fault in RecordFault:
            yield Sample(
                "dockreach_direct_refused_entries_total",
                "Entries of endpoints that were not valid",
                self._counts[fault],
                {"reason": fault.value},
            )
