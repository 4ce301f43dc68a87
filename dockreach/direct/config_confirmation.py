"""Tells up to when an entry knows all changes of the configuration, and who told it.

The platform confirms the configuration with each response, and so do peers that the
platform has answered. What the configuration lacks, a route or an API key, may have been
added since the last confirmation. It counts as unknown for good only if the configuration
is current; otherwise the platform is asked first, with one call for all that wait.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Any

from .. import clock
from ..metrics import Sample
from .feeds import MAX_RETRY_DELAY_S, Feed
from .peers import PeerTable
from .routing_config import ConfigRevision
from .single_flight import SingleFlight
from .version_coverage import PLATFORM, Confirmation

MAX_WAIT_FRACTION = 0.5
"""Longest time for which a request waits for the platform's answer, as a fraction of the
time within which a change must be applied: enough to connect anew and read a response."""


class ConfigConfirmation:
    """The configuration in force, where it came from, and how recent it is known to be.

    Args:
        feed: This entry's own calls for the configuration.
        peers: The other entries.
        max_age_s: Returns the time within which a change must be applied, in seconds.

    Attributes:
        revision: The configuration in force; ``None`` before the first.
        source: Who told it: `PLATFORM`, or the name of an entry.
        applied_at: Monotonic time from which it is in force, in seconds.
    """

    def __init__(
        self, feed: Feed, peers: PeerTable, max_age_s: Callable[[], float]
    ) -> None:
        self._feed = feed
        self._peers = peers
        self._max_age_s = max_age_s
        self._read: SingleFlight | None = None
        self._read_at = -math.inf
        self.revision: ConfigRevision | None = None
        self.source = ""
        self.applied_at = -math.inf
        self._invalid_item = 0

    def apply(self, revision: ConfigRevision, source: str, now: float) -> None:
        """Put a configuration in force.

        Args:
            revision: The configuration.
            source: Who told it.
            now: Monotonic time, in seconds.
        """
        self.revision = revision
        self.source = source
        self.applied_at = now

    def record_item(self, revision: int, *, is_valid: bool) -> None:
        """Record whether a configuration that was read can be used.

        Args:
            revision: The platform's revision at which it was written. One that is read late
                may be older than one that cannot be used.
            is_valid: Whether it can.
        """
        if not is_valid:
            self._invalid_item = max(self._invalid_item, revision)
        elif revision > self._invalid_item:
            self._invalid_item = 0

    @property
    def is_newest_invalid(self) -> bool:
        """Whether the platform has a newer configuration that cannot be used."""
        return self._invalid_item > 0

    @property
    def own_known_at(self) -> float:
        """Monotonic time up to which this entry itself has read all changes, in seconds.

        It is minus infinity if it has not, or cannot use what it read.
        """
        if self.is_newest_invalid:
            return -math.inf
        return max(self._feed.known_at, self._read_at)

    def last(self, now: float) -> Confirmation:
        """Return up to when all changes are known, and who read them.

        A peer that knows all changes up to some time knows none that this entry does not,
        unless its revision is higher.

        Args:
            now: Monotonic time, in seconds.
        """
        own = Confirmation(self.own_known_at, PLATFORM)
        number = self.revision.number if self.revision else 0
        relayed = (
            Confirmation(row.sent_after - row.digest.configuration_known_s, row.digest.name)
            for row in self._peers.fresh(now)
            if row.digest.revision <= number
        )
        return max([own, *relayed], key=lambda confirmation: confirmation.at)

    def set_read(self, read: Callable[[], None]) -> None:
        """Set how the newest configuration is read for a request that needs it.

        Without it, the configuration always counts as current.

        Args:
            read: Reads and applies the newest configuration, and calls `record_read`;
                raises `PlatformError`.
        """
        self._read = SingleFlight(read, clock.now, retry_pause_s=MAX_RETRY_DELAY_S)

    def record_read(self, called_at: float) -> None:
        """Record that the newest configuration was read.

        Args:
            called_at: Monotonic time at which the call was sent, in seconds.
        """
        self._read_at = max(self._read_at, called_at)

    def is_current(self, now: float) -> bool:
        """Return whether all changes are known that must be in force by now.

        Args:
            now: Monotonic time, in seconds.
        """
        return self._read is None or self.last(now).at >= now - self._max_age_s()

    def confirm(self, asked_at: float, max_wait_s: float) -> bool:
        """Read the newest configuration unless this one is current.

        No call is made while the feed's own calls fail: these are repeated anyway.

        Args:
            asked_at: Monotonic time at which the request came that needs it, in seconds.
            max_wait_s: How long its caller can wait, in seconds.

        Returns:
            Whether the configuration that is in force now was current at that time.
        """
        if self._read is None or self.is_current(asked_at):
            return True
        if not self._feed.consecutive_failures:
            max_age_s = self._max_age_s()
            timeout_s = min(max_wait_s, MAX_WAIT_FRACTION * max_age_s)
            self._read.wait(asked_at - max_age_s, timeout_s)
        return self.is_current(asked_at)

    def log_fields(self, now: float) -> dict[str, Any]:
        """Return the log fields of a request that the configuration does not allow.

        Args:
            now: Monotonic time, in seconds.
        """
        last = self.last(now)
        return {
            "config_from": self.source,
            "config_applied_ms": _age_ms(self.applied_at, now),
            "config_confirmed_ms": _age_ms(last.at, now),
            "config_confirmed_by": last.by if math.isfinite(last.at) else "",
        }

    def samples(self, now: float) -> Iterator[Sample]:
        """Return the metric of the age of the last confirmation.

        Args:
            now: Monotonic time, in seconds.
        """
        at = self.last(now).at
        yield Sample(
            "dockreach_direct_configuration_unconfirmed_seconds",
            "Seconds for which neither the platform nor a peer confirmed the configuration",
            now - at if math.isfinite(at) else 0.0,
            {},
            is_counter=False,
        )


def _age_ms(at: float, now: float) -> int | None:
    """Return the time since then, in milliseconds; ``None`` if it has not happened."""
    return round((now - at) * 1000) if math.isfinite(at) else None
