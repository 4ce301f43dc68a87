"""A system whose operator writes large configurations in quick succession."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any, ClassVar

import eventlet

from .cluster import Cluster
from .theme import Theme

ENTRIES = 5
"""Entries by default: three of them are the seeds of all."""

SEEDS = 3
ENDPOINTS_PER_SERVICE = 5
LARGE_BYTES = 300_000
"""Size of a large configuration, in bytes."""

LINK_BYTES_PER_S = 1.25e6
"""Rate of the store's link while such configurations are written: 10 Mbit/s."""


class StormCluster(Cluster):
    """All parts of the system under test, with configurations that may be large."""

    # Storms that overlap write more versions than usual within the time in which one must
    # be applied: a route that callers may rely on would be gone again.
    max_added_routes: ClassVar[int] = sys.maxsize

    def __init__(
        self,
        seed: int,
        net: int,
        folder: Path,
        entries: int,
        theme: Theme = Theme.STORMS,
    ) -> None:
        super().__init__(seed, net, folder, entries, theme)
        self.workers_per_service = ENDPOINTS_PER_SERVICE
        self._storms = 0

    def _extend(self, content: dict[str, Any]) -> None:
        if self._storms:
            content["notes"] = "n" * LARGE_BYTES

    def run_storm(self, changes: int, gap_s: float) -> None:
        """Write large configurations, while all read them over a slow link.

        Args:
            changes: Number of configurations.
            gap_s: Time between them, in seconds.
        """
        self._storms += 1
        self.store.bytes_per_s = LINK_BYTES_PER_S
        for _ in range(changes):
            self.publish_configuration()
            eventlet.sleep(gap_s)
        self._storms -= 1
        if not self._storms:
            self.publish_configuration()

    def clear_faults(self) -> None:
        """End every fault of connections, endpoints and the store."""
        super().clear_faults()
        self.store.bytes_per_s = float("inf")
