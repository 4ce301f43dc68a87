"""Tells up to when an entry knows all changes of the configuration, and who told it.

The platform confirms the configuration with each response, and so do peers that the
platform has answered. What the configuration lacks, a route or an API key, may have been
added since the last confirmation.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

from ..metrics import Sample
from .feeds import Feed
from .peers import PeerTable
from .routing_config import ConfigRevision
from .version_coverage import PLATFORM, Confirmation


class ConfigConfirmation:
    """The configuration in force, where it came from, and how recent it is known to be.

    Args:
        feed: This entry's own calls for the configuration.
        peers: The other entries.

    Attributes:
        revision: The configuration in force; ``None`` before the first.
        source: Who told it: `PLATFORM`, or the name of an entry.
        applied_at: Monotonic time from which it is in force, in seconds.
        is_newest_invalid: Whether the platform has a newer one that cannot be used.
    """

    def __init__(self, feed: Feed, peers: PeerTable) -> None:
        self._feed = feed
        self._peers = peers
        self.revision: ConfigRevision | None = None
        self.source = ""
        self.applied_at = -math.inf
        self.is_newest_invalid = False

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

    @property
    def own_known_at(self) -> float:
        """Monotonic time up to which this entry itself has read all changes, in seconds.

        It is minus infinity if it has not, or cannot use what it read.
        """
        return -math.inf if self.is_newest_invalid else self._feed.known_at

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
