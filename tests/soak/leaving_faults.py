"""Endpoints that leave, and faults of the store and of entries beside them."""

from __future__ import annotations

import eventlet

from .cluster import HALLS
from .faults import (
    AFTERMATH_S,
    Fault,
    _change_settings,
    _cut_off_entries,
    _expire_records,
    _forget_history,
    _harm_store,
    _kill,
    _mute_store_links,
    _pause,
    _stop,
    _worker_name,
)
from .leaving_cluster import LeavingCluster
from .proxy import LinkFault

GAPS_S = (0.3, 1.0, 1.6, 2.2)
"""For how long watches hear nothing, in seconds."""

DRAINING_S = (2.5, 4.0, 9.0)
"""How long the record of an endpoint that drains stays, in seconds."""

SERIES = (1, 1, 2, 3)
"""How many endpoints leave one after the other."""

SERIES_INTERVAL_S = 0.4
SILENCE_S = (0.2, 0.6)
TRICKLE_S = (0.02, 0.06)
"""Pause after each tenth of a response of the store, in seconds."""


def _leave(cluster: LeavingCluster, name: str) -> None:
    """Let an endpoint leave, with its word or without; another one joins."""
    if name not in cluster.workers:
        return
    service = cluster.workers[name].service
    if cluster.rng.random() < 0.5:
        cluster.withdraw_worker(name)
    else:
        for_s = cluster.rng.choice(DRAINING_S)
        eventlet.spawn(cluster.drain_worker, name, for_s)
    eventlet.sleep(cluster.rng.uniform(0.0, 0.5))
    cluster.add_worker(service)


def _leave_in_series(cluster: LeavingCluster) -> None:
    for _ in range(cluster.rng.choice(SERIES)):
        _leave(cluster, _worker_name(cluster))
        eventlet.sleep(cluster.rng.uniform(0.0, SERIES_INTERVAL_S))


def _leave_hall(cluster: LeavingCluster) -> None:
    """Let all endpoints of a data hall leave at once."""
    for name in cluster.workers_of(cluster.rng.choice(HALLS)):
        eventlet.spawn(_leave, cluster, name)


def _leave_unheard(cluster: LeavingCluster) -> None:
    """Let endpoints leave, or join, while no watch hears of it."""
    for_s = cluster.rng.choice(GAPS_S)
    with cluster.muted_store():
        eventlet.sleep(cluster.rng.uniform(0.0, for_s / 2))
        leave = cluster.rng.choice((_leave_in_series, _leave_in_series, _leave_hall))
        eventlet.spawn(leave, cluster)
        eventlet.sleep(for_s)


def _mute_store(cluster: LeavingCluster) -> None:
    """Let watches hear nothing while nothing changes but by other faults."""
    with cluster.muted_store():
        eventlet.sleep(cluster.rng.choice(GAPS_S))


def _slow_store(cluster: LeavingCluster) -> None:
    """Let each response of the store take some tenths of a second."""
    for_s = cluster.rng.uniform(0.5, 3.0)
    cluster.record_store_fault(for_s)
    cluster.store.trickle_s = cluster.rng.uniform(*TRICKLE_S)
    eventlet.sleep(for_s)
    cluster.store.trickle_s = 0.0


def _silence_worker(cluster: LeavingCluster) -> None:
    """Let an endpoint send nothing for a moment."""
    worker = cluster.workers[_worker_name(cluster)]
    for_s = cluster.rng.uniform(*SILENCE_S)
    cluster.record_disruption("", for_s + AFTERMATH_S, is_engine_fault=True)
    worker.proxy.set_fault(LinkFault.SILENT)
    eventlet.sleep(for_s)
    worker.proxy.set_fault(LinkFault.NONE)


LEAVING_FAULTS: tuple[Fault, ...] = (
    *(_leave_unheard,) * 9,
    *(_leave_in_series,) * 3,
    _leave_hall,
    _mute_store,
    _slow_store,
    _forget_history,
    _harm_store,
    _expire_records,
    _mute_store_links,
    *(_cut_off_entries,) * 2,
    _change_settings,
    _kill,
    _stop,
    _pause,
    _silence_worker,
)
"""Faults beside which endpoints leave."""
