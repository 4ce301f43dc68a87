"""Entries that the store turns away, beside storms and silent connections."""

from __future__ import annotations

import eventlet

from .faults import (
    Fault,
    _change_settings,
    _kill,
    _mute_store_links,
    _pause,
    _stop,
    _withdraw_worker,
)
from .storm_faults import _storm
from .turned_away_cluster import TurnedAwayCluster

TURNED_AWAY_S = (1.2, 2.5, 4.5, 9.0)
"""For how long the store turns entries away, in seconds."""

FAILURES = (503, 429, "silent", "reset")


def _turn_away(cluster: TurnedAwayCluster) -> None:
    """Let the store fail all calls of entries while it takes the operator's writes."""
    for_s = cluster.rng.choice(TURNED_AWAY_S)
    cluster.record_store_fault(for_s)
    cluster.store.failure_mode = cluster.rng.choice(FAILURES)
    cluster.store.end_watches()
    eventlet.sleep(for_s)
    cluster.store.failure_mode = ""


def _turn_away_in_a_storm(cluster: TurnedAwayCluster) -> None:
    storm = eventlet.spawn(_storm, cluster)
    eventlet.sleep(cluster.rng.uniform(0.0, 1.0))
    _turn_away(cluster)
    storm.wait()


TURNED_AWAY_FAULTS: tuple[Fault, ...] = (
    *(_turn_away,) * 4,
    *(_turn_away_in_a_storm,) * 2,
    *(_mute_store_links,) * 2,
    _withdraw_worker,
    _change_settings,
    _kill,
    _stop,
    _pause,
)
