"""The faults of soaks in which all entries are killed beside a change of software."""

from __future__ import annotations

import eventlet

from tests.platform.store_standin import endpoint_record

from .cluster import COMPETING_KEYS, DRAINING_S
from .faults import (
    Fault,
    _change_settings,
    _configure,
    _forget_history,
    _harm_store,
    _kill,
    _pause,
    _signals,
    _stop,
)
from .process_faults import (
    _drain_process,
    _kill_paused_process,
    _kill_process,
    _pause_process,
)
from .rejoined_cluster import UNUSED_SERVICE, RejoinedCluster

DOWN_S = (0.0, 0.0, 0.6, 1.6)
"""How long entries stay down after a power cut, in seconds."""

LISTED_S = (0.0, 0.0, 0.5, DRAINING_S)
"""How long a replaced endpoint is listed as draining, in seconds."""

UNLIMITED_KEY = COMPETING_KEYS[-1]
"""Key of the organisation that sends bursts."""

BURSTS = (8, 20)
"""Numbers of requests that are sent at the same time."""

ODD_FOR_S = (0.3, 1.5, None)
"""After how long an odd record is deleted, in seconds; ``None`` if it stays."""

MAX_HERD = 3
"""Endpoints that are killed at the same time, at most."""


def _with(field: str, value: bytes) -> bytes:
    """Return a record with a value that no encoder writes."""
    plain = endpoint_record(service=UNUSED_SERVICE, **{field: "?"})
    return plain.replace(b'"?"', value)


ODD_RECORDS = (
    _with("more", b"[" * 1100 + b"]" * 1100),
    _with("more", b'{"a":' * 50_000),
    _with("slots", b"9" * 400),
    _with("slots", b"%d" % 2**64),
    _with("sequence", b"%d" % 10**30),
    _with("cold_remaining_ms", b"1e400"),
    _with("address", b'"10.0.0.1:99999"'),
    _with("address", b'"10.0.0.1:-1"'),
    _with("version", b'"\\ud800"'),
    b"",
    b"null",
    b"\xff\xfe",
)
"""Values of records that an entry must not stumble over."""


def _cut_power(cluster: RejoinedCluster) -> None:
    cluster.cut_power(cluster.rng.choice(DOWN_S))


def _release_and_cut_power(cluster: RejoinedCluster) -> None:
    """Replace the endpoints of resumable streams, and kill all entries around that."""
    cluster.draw_software_version()
    for name in cluster.resumable_workers():
        listed_s = cluster.rng.choice(LISTED_S)
        eventlet.spawn(cluster.drain_process, name, draining_s=listed_s)
    eventlet.sleep(cluster.rng.uniform(0.0, 2.0))
    _cut_power(cluster)


def _release(cluster: RejoinedCluster) -> None:
    """Replace endpoints one after another by ones of another software version."""
    cluster.draw_software_version()
    for name in cluster.resumable_workers():
        if name in cluster.processes:
            eventlet.spawn(cluster.drain_process, name)
        eventlet.sleep(cluster.rng.uniform(0.0, 0.6))


def _withdraw_process(cluster: RejoinedCluster) -> None:
    """Let an endpoint leave without saying so, as where machines are taken back."""
    while not cluster.processes:
        eventlet.sleep(0.05)
    name = cluster.rng.choice(sorted(cluster.processes))
    cluster.drain_process(name, draining_s=0.0)


def _kill_herd(cluster: RejoinedCluster) -> None:
    for _ in range(cluster.rng.randint(2, MAX_HERD)):
        _kill_process(cluster)


def _burst(cluster: RejoinedCluster) -> None:
    cluster.callers.run_burst(UNLIMITED_KEY, cluster.rng.choice(BURSTS))


def _odd_record(cluster: RejoinedCluster) -> None:
    for_s, value = cluster.rng.choice(ODD_FOR_S), cluster.rng.choice(ODD_RECORDS)
    if cluster.has_odd_records:
        cluster.write_odd_record(value, for_s)


REJOINED_FAULTS: tuple[Fault, ...] = (
    *(_kill_process,) * 6,
    *(_kill_paused_process,) * 2,
    *(_release_and_cut_power,) * 3,
    _cut_power,
    *(_pause_process,) * 2,
    *(_burst,) * 2,
    *(_odd_record,) * 2,
    _kill_herd,
    _withdraw_process,
    _release,
    _drain_process,
    _kill,
    _pause,
    _stop,
    _signals,
    _configure,
    _change_settings,
    _harm_store,
    _forget_history,
)
"""Faults of endpoints and entries that are processes, and of their records."""
