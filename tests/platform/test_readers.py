"""Few entries of a data hall poll the store, and all entries apply each change in time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import eventlet
import pytest

from dockreach.direct.digest import Address
from dockreach.direct.entry import Entry
from dockreach.direct.readers import READERS_PER_HALL
from dockreach_platform.follower import Follower
from dockreach_platform.headers import PlatformDialect
from tests.direct.standins import entry_settings

from .store_standin import StoreStandIn
from .test_follower import config, server
from .test_freshness import knows, leaves, wait_until

IN_FORCE_S = 4.0
ENTRIES = 5


def start(store: StoreStandIn, seeds: tuple[Address, ...]) -> Entry:
    settings = replace(entry_settings(), in_force_s=IN_FORCE_S, seeds=seeds)
    entry = Entry(settings, PlatformDialect())
    entry.start()
    Follower(store.address, entry).start()
    return entry


@pytest.fixture(name="store")
def _store() -> StoreStandIn:
    store = StoreStandIn()
    store.put("op/config", config(3))
    store.put("servers/i-1", server())
    return store


@pytest.fixture(name="entries")
def _entries(store: StoreStandIn) -> list[Entry]:
    """Return entries of one data hall that have received each other's digests."""
    first = start(store, ())
    entries = [first, *(start(store, (first.settings.gossip,)) for _ in range(ENTRIES - 1))]
    wait_until(lambda: all(len(entry.peers) == ENTRIES - 1 for entry in entries), 3.0)
    eventlet.sleep(1.0)
    return entries


def all_so(entries: list[Entry], condition: Callable[[Entry], bool]) -> Callable[[], bool]:
    return lambda: all(condition(entry) for entry in entries)


def test_only_the_readers_of_a_hall_poll_the_store(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    eventlet.sleep(IN_FORCE_S)
    before = len(store.calls)
    eventlet.sleep(IN_FORCE_S)
    # Each reader makes two calls in 1.9 to 2.4 s.
    assert len(store.calls) - before <= READERS_PER_HALL * 2 * 3
    assert len(entries) == ENTRIES


def test_changes_reach_entries_that_do_not_poll_the_store(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    calls = len(store.calls)
    store.put("op/config", config(4))
    store.put("servers/i-1", server("draining"))
    assert wait_until(all_so(entries, lambda entry: knows(entry, 4)), 4.0) < 2.0
    assert wait_until(all_so(entries, lambda entry: leaves(entry, "i-1")), 4.0) < 1.0
    assert len(store.calls) - calls <= READERS_PER_HALL * 4


def test_changes_are_applied_in_time_when_the_readers_calls_stall(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    # The store no longer responds on open connections, which are the readers'. It responds
    # to the other entries.
    store.mute()
    store.put("op/config", config(4))
    assert wait_until(all_so(entries, lambda entry: knows(entry, 4)), 8.0) < IN_FORCE_S


def test_all_entries_are_up_to_date_soon_after_an_outage(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    store.failing = "silent"
    eventlet.sleep(2 * IN_FORCE_S)
    store.failing = ""
    store.put("op/config", config(4))
    assert wait_until(all_so(entries, lambda entry: knows(entry, 4)), 8.0) < IN_FORCE_S


def emptied(entry: Entry) -> bool:
    return entry.endpoints.evacuated == {"z"}


def test_evacuations_begin_and_end_at_entries_that_do_not_poll_the_store(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    calls = len(store.calls)
    store.put("op/evacuate/z", b"{}")
    assert wait_until(all_so(entries, emptied), 4.0) < 2.0
    store.delete("op/evacuate/z")
    assert wait_until(all_so(entries, lambda entry: not emptied(entry)), 4.0) < 2.0
    assert len(store.calls) - calls <= READERS_PER_HALL * 5


def test_an_evacuation_is_applied_in_time_when_the_readers_calls_stall(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    store.mute()
    store.put("op/evacuate/z", b"{}")
    assert wait_until(all_so(entries, emptied), 8.0) < IN_FORCE_S


def test_an_evacuation_and_a_configuration_set_together_reach_all_entries(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    store.put("op/evacuate/z", b"{}")
    store.put("op/config", config(4))
    both = all_so(entries, lambda entry: knows(entry, 4) and emptied(entry))
    assert wait_until(both, 4.0) < 2.0
