"""A system whose store turns entries away while it takes new routes and keys."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import eventlet

from .clients import Outcome
from .entries import EntryProcess
from .storm_cluster import StormCluster
from .theme import Theme

ENTRIES = 3
"""Entries by default."""

PROBE_INTERVAL_S = 0.1
"""Time between two requests to an entry for what was added last, in seconds."""


class TurnedAwayCluster(StormCluster):
    """All parts of the system under test, with a new API key in each configuration."""

    def __init__(self, seed: int, net: int, folder: Path, entries: int) -> None:
        super().__init__(seed, net, folder, entries, Theme.TURNED_AWAY)
        self.observations.denies_only_current = True

    def _extend(self, content: dict[str, Any]) -> None:
        super()._extend(content)
        version = content["version"]
        keys = [_key(number) for number in range(1, version + 1)]
        content["tenants"].append({"name": "added", "api_keys": keys})

    def start_callers(self) -> None:
        """Start the callers, and the requests for what was added last."""
        super().start_callers()
        for entry in self.entries:
            eventlet.spawn(self._probe, entry)

    def _probe(self, entry: EntryProcess) -> None:
        while not self.callers.is_stopped:
            eventlet.spawn(self._request_newest, entry)
            eventlet.sleep(PROBE_INTERVAL_S)

    def _request_newest(self, entry: EntryProcess) -> None:
        """Send a request that needs a route or a key that must be in force."""
        rid = self.callers.make_rid("new")
        outcome = Outcome(rid, "new", entry.name, time.monotonic())
        version = self._newest_applied_version()
        key = "key-free"
        if self.rng.random() < 0.5:
            outcome.path, key = "/safe/x", _key(version)
        else:
            outcome.path = f"/new-{version}/x"
        outcome.request_body = rid.encode()
        address = dict(self._addresses())[entry.name]
        self.callers.send_once(outcome, address, key)


def _key(version: int) -> str:
    """Return the API key that a version of the configuration adds."""
    return f"key-new-{version}"
