"""Few entries of a data hall poll the store, and all entries apply each change in time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import eventlet
import pytest

from dockreach.direct.digest import Address
from dockreach.direct.entry import Entry
from dockreach.direct.readers import READERS_PER_HALL
from dockreach_platform.follower import StoreFollower
from dockreach_platform.headers import PlatformAdapter
from tests.direct.standins import entry_settings

from .store_standin import StoreStandIn
from .test_follower import config_record, server_record
from .test_freshness import has_revision, is_leaving_or_gone, wait_until

APPLY_DEADLINE_S = 4.0
ENTRIES = 5


def start_entry(store: StoreStandIn, seeds: tuple[Address, ...]) -> Entry:
    settings = replace(entry_settings(), apply_deadline_s=APPLY_DEADLINE_S, seeds=seeds)
    entry = Entry(settings, PlatformAdapter())
    entry.start()
    StoreFollower(store.address, entry).start()
    return entry


@pytest.fixture(name="store")
def _store() -> StoreStandIn:
    store = StoreStandIn()
    store.put("op/config", config_record(3))
    store.put("servers/i-1", server_record())
    return store


@pytest.fixture(name="entries")
def _entries(store: StoreStandIn) -> list[Entry]:
    """Return entries of one data hall that have received each other's digests."""
    first = start_entry(store, ())
    entries = [
        first,
        *(start_entry(store, (first.settings.gossip_address,)) for _ in range(ENTRIES - 1)),
    ]
    wait_until(lambda: all(len(entry.peers) == ENTRIES - 1 for entry in entries), 3.0)
    eventlet.sleep(1.0)
    return entries


def holds_for_all(
    entries: list[Entry], condition: Callable[[Entry], bool]
) -> Callable[[], bool]:
    return lambda: all(condition(entry) for entry in entries)


def test_only_the_readers_of_a_hall_poll_the_store(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    eventlet.sleep(APPLY_DEADLINE_S)
    before = len(store.calls)
    eventlet.sleep(APPLY_DEADLINE_S)
    # Each reader makes two calls in 1.9 to 2.4 s.
    assert len(store.calls) - before <= READERS_PER_HALL * 2 * 3
    assert len(entries) == ENTRIES


def test_changes_reach_entries_that_do_not_poll_the_store(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    calls = len(store.calls)
    store.put("op/config", config_record(4))
    store.put("servers/i-1", server_record("draining"))
    assert (
        wait_until(holds_for_all(entries, lambda entry: has_revision(entry, 4)), 4.0) < 2.0
    )
    assert (
        wait_until(
            holds_for_all(entries, lambda entry: is_leaving_or_gone(entry, "i-1")), 4.0
        )
        < 1.0
    )
    assert len(store.calls) - calls <= READERS_PER_HALL * 4


def test_changes_are_applied_in_time_when_the_readers_calls_stall(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    # The store no longer responds on open connections, which are the readers'. It responds
    # to the other entries.
    store.stall_open_connections()
    store.put("op/config", config_record(4))
    assert (
        wait_until(holds_for_all(entries, lambda entry: has_revision(entry, 4)), 8.0)
        < APPLY_DEADLINE_S
    )


def test_all_entries_are_up_to_date_soon_after_an_outage(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    store.failure_mode = "silent"
    eventlet.sleep(2 * APPLY_DEADLINE_S)
    store.failure_mode = ""
    store.put("op/config", config_record(4))
    assert (
        wait_until(holds_for_all(entries, lambda entry: has_revision(entry, 4)), 8.0)
        < APPLY_DEADLINE_S
    )


def is_evacuated(entry: Entry) -> bool:
    return entry.endpoints.evacuated == {"z"}


def test_evacuations_begin_and_end_at_entries_that_do_not_poll_the_store(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    calls = len(store.calls)
    store.put("op/evacuate/z", b"{}")
    assert wait_until(holds_for_all(entries, is_evacuated), 4.0) < 2.0
    store.delete("op/evacuate/z")
    assert (
        wait_until(holds_for_all(entries, lambda entry: not is_evacuated(entry)), 4.0) < 2.0
    )
    assert len(store.calls) - calls <= READERS_PER_HALL * 5


def test_an_evacuation_is_applied_in_time_when_the_readers_calls_stall(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    store.stall_open_connections()
    store.put("op/evacuate/z", b"{}")
    assert wait_until(holds_for_all(entries, is_evacuated), 8.0) < APPLY_DEADLINE_S


def test_an_evacuation_and_a_configuration_set_together_reach_all_entries(
    store: StoreStandIn, entries: list[Entry]
) -> None:
    store.put("op/evacuate/z", b"{}")
    store.put("op/config", config_record(4))
    both = holds_for_all(
        entries, lambda entry: has_revision(entry, 4) and is_evacuated(entry)
    )
    assert wait_until(both, 4.0) < 2.0
