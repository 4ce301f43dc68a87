"""A published change is in force in time, whatever call was under way when it came.

Symptom: a configuration that the store had taken was not in force 2.4 s later. A route
that it knew was refused with 404, and a request went to the service of an older one.

Sequence: the store said nothing for 8 s. Each entry's call for changes was held for 4.0 s
before silence counted as a failure. The third such call was sent 0.6 s before the store
was back and held until 3.4 s after it; a pause of 0.4 to 0.8 s followed. All entries had
their last answer within 2 ms of each other, so that none was ahead and could help.

Cause: how long a call may be held was chosen for the price of calls (3 s of waiting and 1 s
for the answer), and not for the 2 s in which a change must be in force.

Settled by: no call for the configuration reached the store between 33.6 and 38.0 s, which
was back from 34.7 s on; the endpoints, read by other calls, were fresh at 35.5 s; eight
revisions were put in force within 3 ms of the first answer.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import eventlet
import pytest

from dockreach.direct.entry import Entry

from .store_standin import StoreStandIn
from .test_follower import config, follow, server

IN_FORCE_S = 2.0
"""Time in which a change must be in force, in seconds, as the platform's settings say."""


@pytest.fixture(name="store")
def _store() -> StoreStandIn:
    store = StoreStandIn()
    store.put("op/config", config(3))
    store.put("servers/i-1", server())
    return store


def wait_until(is_so: Callable[[], bool], seconds: float) -> float:
    """Wait until something is so, for so long at most; return how long it took."""
    began = time.monotonic()
    while not is_so() and time.monotonic() - began < seconds:
        eventlet.sleep(0.01)
    return time.monotonic() - began


def knows(entry: Entry, version: int) -> bool:
    return entry.revision is not None and entry.revision.number >= version


def calls_for_configuration(store: StoreStandIn) -> int:
    return sum("prefix=op" in call for call in store.calls)


def leaves(entry: Entry, endpoint: str) -> bool:
    row = entry.endpoints.get(endpoint)
    return row is None or row.published.leaving


@pytest.mark.parametrize("calls", [2, 3])
def test_a_change_right_after_an_outage_is_in_force_in_time(
    store: StoreStandIn, calls: int
) -> None:
    entry = follow(store)
    store.failing = "silent"
    last = calls_for_configuration(store) + calls
    wait_until(lambda: calls_for_configuration(store) >= last, 12.0)
    store.failing = ""
    store.put("op/config", config(8))
    assert wait_until(lambda: knows(entry, 8), 6.0) < IN_FORCE_S


def test_a_change_is_in_force_in_time_when_open_connections_fall_silent(
    store: StoreStandIn,
) -> None:
    entry = follow(store)
    eventlet.sleep(0.5)
    store.mute()
    store.put("op/config", config(8))
    store.put("servers/i-1", server("draining"))
    took = wait_until(lambda: knows(entry, 8) and leaves(entry, "i-1"), 6.0)
    assert took < IN_FORCE_S


def test_a_long_answer_over_a_narrow_link_is_no_failure(store: StoreStandIn) -> None:
    store.trickle_s = 0.15
    entry = follow(store)
    took = wait_until(lambda: knows(entry, 3), 6.0)
    assert took < 4.0
    assert entry.feeds.configuration.failed_calls == 0


def test_entries_that_heard_of_a_change_together_do_not_ask_in_step(
    store: StoreStandIn,
) -> None:
    entries = [follow(store) for _ in range(4)]
    eventlet.sleep(1.5)
    waits = {call.rpartition("wait_ms=")[2] for call in store.calls if "wait_ms" in call}
    assert all(entry.revision is not None for entry in entries)
    assert len(waits) > 4
