"""A system whose endpoints leave while the store fails to say so."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator
from pathlib import Path
from typing import ClassVar

import eventlet

from .cluster import Cluster
from .invariants import STORE, Span
from .theme import Theme

ENTRIES = 5
"""Entries by default: two of them read the store for the others."""

ENDPOINTS_PER_SERVICE = 6

FORGOTTEN_CHANCE = 0.7
"""Chance that the history is dropped, and the watches are cut, once they hear again."""


class LeavingCluster(Cluster):
    """All parts of the system under test, with a store whose watches may hear nothing."""

    # Any change after an unheard one has a watch refused, and the list read anew.
    config_interval_s: ClassVar[tuple[float, float]] = (4.0, 9.0)

    def __init__(self, seed: int, net: int, folder: Path, entries: int) -> None:
        super().__init__(seed, net, folder, entries, Theme.LEAVING)
        self.workers_per_service = ENDPOINTS_PER_SERVICE
        self._mute_count = 0

    @contextlib.contextmanager
    def muted_store(self) -> Iterator[None]:
        """Let watches hear nothing; spans may overlap."""
        start = time.monotonic()
        self._mute_count += 1
        self.store.is_muted = True
        try:
            yield
        finally:
            self._mute_count -= 1
            span = Span(STORE, start, time.monotonic())
            self.observations.store_faults.append(span)
            if not self._mute_count:
                self._hear_again()

    def _hear_again(self) -> None:
        self.store.is_muted = False
        if self.rng.random() < FORGOTTEN_CHANCE:
            self.store.forget_unheard()

    def drain_worker(self, name: str, for_s: float) -> None:
        """Let an endpoint leave as it says, and serve on for a while.

        Args:
            name: Its name.
            for_s: How long its record stays, in seconds.
        """
        worker = self.workers.pop(name)
        self._publish(worker, "draining")
        self.observations.draining_since[name] = time.monotonic()
        eventlet.sleep(for_s)
        self._delete_record(name)

    def workers_of(self, hall: str) -> list[str]:
        """Return the names of the endpoints of a data hall."""
        return sorted(name for name, row in self.workers.items() if row.hall == hall)

    def clear_faults(self) -> None:
        """End every fault of connections, endpoints and the store."""
        super().clear_faults()
        self.store.is_muted = False
        self.store.trickle_s = 0.0
