"""Faults wait for an endpoint if none runs at the moment."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from pathlib import Path

import eventlet
import pytest

from .cluster import SERVICES, Cluster
from .entries import reserved_net
from .faults import FAULTS, THEME_FAULTS, Fault
from .theme import Theme

ENDPOINT_FAULTS = (
    "_replace_worker",
    "_crash_worker",
    "_sick_worker",
    "_harm_worker",
    "_restart_worker",
    "_spoil_entry",
    "_name_limit",
    "_leave_by_word",
    "_ask_for_rest",
)
"""Faults that draw an endpoint."""


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    """A cluster with one endpoint, and with an entry that is not started."""
    with reserved_net() as net:
        cluster = Cluster(4, net, tmp_path, 1, Theme.RESTARTS)
        cluster.publish_configuration()
        cluster.add_worker(SERVICES[0])
        yield cluster
        cluster.stop()


@pytest.mark.parametrize("name", ENDPOINT_FAULTS)
def test_fault_without_an_endpoint_waits_for_the_next_one(
    cluster: Cluster, name: str
) -> None:
    """A fault must not draw from an empty list of endpoints.

    A crashed endpoint is absent for 1 s and a restarting one for 0.5 s. In a CI run five or
    six overlapping faults had removed all six endpoints: the next fault raised an
    `IndexError`, and the soak ended before any invariant was checked.
    """
    faults: dict[str, Fault] = {
        fault.__name__: fault for fault in itertools.chain(FAULTS, *THEME_FAULTS.values())
    }
    crash = eventlet.spawn(faults["_crash_worker"], cluster)
    eventlet.sleep(0)
    assert not cluster.workers
    with eventlet.Timeout(10.0):
        eventlet.spawn(faults[name], cluster).wait()
        crash.wait()
