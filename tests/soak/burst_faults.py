"""Bursts of large bodies and of take-ups, beside faults of entries and endpoints."""

from __future__ import annotations

from .burst_callers import (
    send_bodies,
    send_unfinished_bodies,
    stop_short,
    take_up_at_once,
)
from .burst_cluster import MAX_BODY_BYTES
from .cluster import Cluster
from .faults import (
    Fault,
    _break_streams,
    _change_settings,
    _kill,
    _pause,
    _replace_worker,
    _stop,
)

BODIES = (10, 30, 60)
CROWDS = (50, 150, 400)
TAKE_UPS = (2, 4, 20)
"""How many come at the same time; one of each is drawn."""


def _burst_of_bodies(cluster: Cluster) -> None:
    send_bodies(cluster.callers, cluster.rng.choice(BODIES), MAX_BODY_BYTES)


def _unfinished_bodies(cluster: Cluster) -> None:
    """Send bodies slowly, and leave before they are whole."""
    send_unfinished_bodies(cluster.callers, cluster.rng.choice(BODIES), MAX_BODY_BYTES)


def _crowd_that_stops_short(cluster: Cluster) -> None:
    stop_short(cluster.callers, cluster.rng.choice(CROWDS), MAX_BODY_BYTES)


def _take_ups_at_once(cluster: Cluster) -> None:
    take_up_at_once(cluster.callers, cluster.rng.choice(TAKE_UPS))


BURST_FAULTS: tuple[Fault, ...] = (
    *(_burst_of_bodies,) * 4,
    *(_unfinished_bodies,) * 2,
    *(_crowd_that_stops_short,) * 3,
    *(_take_ups_at_once,) * 5,
    _break_streams,
    _change_settings,
    _replace_worker,
    _kill,
    _pause,
    _stop,
)
