"""The faults of soaks in which entries fall out of step beside a release."""

from __future__ import annotations

import signal

import eventlet

from .cluster import COMPETING_KEYS
from .entries import EntryProcess
from .faults import (
    Fault,
    _change_settings,
    _configure,
    _harm_store,
    _kill,
    _stop,
)
from .out_of_step_cluster import OutOfStepCluster
from .out_of_step_network import Cut, Way
from .process_faults import _kill_process, _pause_process

WAYS = (*(Way.BOTH,) * 4, Way.IN, Way.OUT)
CUT_S = (0.3, 1.2, 2.0, 2.0, 3.0)
"""For how long paths are cut, in seconds."""

STOP_S = ((0.3, 2.5), (0.3, 2.5), (0.3, 6.0))
"""Shortest and longest time for which an entry stands still, in seconds; one pair is drawn
each time."""

LONGER_CUT_S = (0.3, 1.5)
"""For how much longer the paths of an entry that stood still may be cut, in seconds."""

LISTED_BEFORE_CHANCE = 0.2
LISTED_BEFORE_S = (0.0, 0.15)
"""Chance that newcomers are listed before an entry falls out of step, and how
long before that, in seconds."""

LISTED_AFTER_S = (0.05, 0.2, 0.5, 0.8)
"""How long after an entry fell out of step they may be listed, in seconds."""

RELEASED_SERVICES = (1, 2, 3)
"""Services of which endpoints of another version join at the same time."""

STREAMS = (6, 9)
"""Streams of each service that are begun then."""

BREAK_S = (0.1, 0.8)
"""After how long endpoints or entries that serve them may be killed, in seconds."""

KEPT_OLDER = (0, 0, 1)
"""How many endpoints of earlier versions stay."""

UNLIMITED_KEY = COMPETING_KEYS[-1]


def _draw_cut(cluster: OutOfStepCluster, *, only: str = "") -> Cut:
    rng = cluster.rng
    peers, store = rng.choice(WAYS), rng.choice(WAYS)
    if only == "peers":
        store = Way.NONE
    if only == "store":
        peers = Way.NONE
    return Cut(peers, store, rng.random() < 0.3, rng.random() < 0.3)


def _cut_off(cluster: OutOfStepCluster, entry: EntryProcess) -> None:
    """Cut an entry off from the others and from the store."""
    cluster.cut_off(entry, _draw_cut(cluster), cluster.rng.choice(CUT_S))


def _cut_off_in_part(cluster: OutOfStepCluster, entry: EntryProcess) -> None:
    """Cut an entry off from the others, or from the store."""
    only = cluster.rng.choice(("peers", "store"))
    cluster.cut_off(entry, _draw_cut(cluster, only=only), cluster.rng.choice(CUT_S))


def _stand_still(cluster: OutOfStepCluster, entry: EntryProcess) -> None:
    cluster.stand_still(entry, cluster.rng.uniform(*cluster.rng.choice(STOP_S)))


def _stand_still_cut_off(cluster: OutOfStepCluster, entry: EntryProcess) -> None:
    """Stop an entry, and cut it off until a while after it goes on."""
    for_s = cluster.rng.uniform(*cluster.rng.choice(STOP_S))
    longer_s = cluster.rng.uniform(*LONGER_CUT_S)
    cut = eventlet.spawn(cluster.cut_off, entry, _draw_cut(cluster), for_s + longer_s)
    cluster.stand_still(entry, for_s)
    cut.wait()


LOSSES_OF_STEP = (
    *(_cut_off,) * 6,
    _cut_off_in_part,
    _stand_still,
    *(_stand_still_cut_off,) * 2,
)
"""How entries fall out of step."""


def _lose_step(cluster: OutOfStepCluster) -> None:
    """Let an entry fall out of step beside nothing else."""
    with cluster.chosen_entry() as entry:
        if entry is not None:
            cluster.rng.choice(LOSSES_OF_STEP)(cluster, entry)


def _lose_step_beside_a_release(cluster: OutOfStepCluster) -> None:
    """Let an entry fall out of step while endpoints of another version join and break."""
    with cluster.chosen_entry(overlaps=False) as entry:
        if entry is not None:
            _release_without(cluster, entry)


def _release_without(cluster: OutOfStepCluster, entry: EntryProcess) -> None:
    """Release other versions of some services while an entry is out of step."""
    rng = cluster.rng
    starting = {}
    for _ in range(rng.choice(RELEASED_SERVICES)):
        service = cluster.draw_service()
        cluster.raise_version(service)
        count = rng.choice((1, 2, 2))
        starting[service] = eventlet.spawn(cluster.start_newcomers, service, count)
    newcomers = {service: greenlet.wait() for service, greenlet in starting.items()}
    loss = rng.choice(LOSSES_OF_STEP)
    if rng.random() < LISTED_BEFORE_CHANCE:
        for workers in newcomers.values():
            cluster.list_newcomers(workers)
        eventlet.sleep(rng.uniform(*LISTED_BEFORE_S))
        trouble = eventlet.spawn(loss, cluster, entry)
    else:
        trouble = eventlet.spawn(loss, cluster, entry)
        eventlet.sleep(rng.choice(LISTED_AFTER_S))
        for workers in newcomers.values():
            cluster.list_newcomers(workers)
    for service in newcomers:
        cluster.drain_older(service, rng.choice(KEPT_OLDER))
    eventlet.sleep(rng.uniform(0.0, 0.2))
    for service in newcomers:
        path = f"/story/{service}/"
        cluster.callers.run_streams(UNLIMITED_KEY, path, rng.choice(STREAMS))
    eventlet.sleep(rng.uniform(*BREAK_S))
    names = [worker.name for workers in newcomers.values() for worker in workers]
    _break_streams(cluster, entry, names)
    trouble.wait()


def _break_streams(
    cluster: OutOfStepCluster, entry: EntryProcess, newcomers: list[str]
) -> None:
    """Kill a newcomer, or another entry, or nothing."""
    rng = cluster.rng
    victim = rng.choice(("endpoint", "entry", "none", "none", "none"))
    if victim == "endpoint" and newcomers:
        worker = cluster.processes.get(rng.choice(newcomers))
        if worker is not None:
            worker.send_signal(signal.SIGKILL)
    if victim == "entry":
        other = rng.choice([one for one in cluster.entries if one is not entry])
        cluster.record_disruption(other.name, 1.5)
        other.send_signal(signal.SIGKILL)


OUT_OF_STEP_FAULTS: tuple[Fault, ...] = (
    *(_lose_step_beside_a_release,) * 8,
    _lose_step,
    *(_kill_process,) * 2,
    _pause_process,
    _kill,
    _stop,
    _configure,
    _change_settings,
    _harm_store,
)
"""Faults of entries that fall out of step, and of endpoints and the store beside them."""
