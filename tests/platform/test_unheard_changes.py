"""Changes that no watch heard, since the store delivered nothing for a moment."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import NamedTuple

import eventlet
import pytest

from dockreach.direct.entry import Entry
from dockreach.direct.lapses import LAPSE_GRACE_S

from .store_standin import StoreStandIn
from .test_follower import config_record, server_record, start_following_entry, wait_until

APPLY_DEADLINE_S = 2.0

GAPS_S = [0.3, 1.0, 2.2]
"""How long watches hear nothing, in seconds: within one call, and over more than one."""


class Case(NamedTuple):
    """A change, and whether an entry has applied it."""

    change: Callable[[StoreStandIn], None]
    is_applied: Callable[[Entry], bool]


def is_leaving(entry: Entry, endpoint: str) -> bool:
    row = entry.endpoints.get(endpoint)
    return row is not None and row.is_leaving


def keys_record(version: int, *keys: str) -> bytes:
    tenant = {"name": "t", "api_keys": keys}
    return json.dumps({"version": version, "tenants": [tenant]}).encode()


def has_key(entry: Entry, key: str) -> bool:
    assert entry.revision is not None
    return any(key in item.keys for item in entry.revision.organisations)


CASES = {
    "draining": Case(
        lambda store: store.put("servers/i-1", server_record("draining")),
        lambda entry: is_leaving(entry, "i-1"),
    ),
    "gone": Case(
        lambda store: store.delete("servers/i-1"),
        lambda entry: entry.endpoints.get("i-1") is None,
    ),
    "joined": Case(
        lambda store: store.put("servers/i-9", server_record()),
        lambda entry: entry.endpoints.get("i-9") is not None,
    ),
    "configured": Case(
        lambda store: store.put("op/config", config_record(9)),
        lambda entry: entry.revision is not None and entry.revision.number == 9,
    ),
    "key taken away": Case(
        lambda store: store.put("op/config", keys_record(9, "k-1")),
        lambda entry: has_key(entry, "k-1") and not has_key(entry, "k-2"),
    ),
    "evacuated": Case(
        lambda store: store.put("op/evacuate/z", b"{}"),
        lambda entry: "z" in entry.endpoints.evacuated,
    ),
    "evacuation withdrawn": Case(
        lambda store: store.delete("op/evacuate/y"),
        lambda entry: entry.endpoints.evacuated == frozenset(),
    ),
}


@pytest.fixture(name="store")
def _store() -> StoreStandIn:
    store = StoreStandIn()
    store.put("op/config", keys_record(3, "k-1", "k-2"))
    store.put("op/evacuate/y", b"{}")
    for number in range(5):
        store.put(f"servers/i-{number}", server_record())
    return store


def wait_until_watching(store: StoreStandIn) -> None:
    """Wait until both prefixes are watched."""
    store.calls.clear()

    def is_watched(prefix: str) -> bool:
        # The history is read without a wait.
        watches = [
            call for call in store.calls if "kv-watch" in call and "wait_ms=0" not in call
        ]
        return any(f"path_prefix={prefix}" in call for call in watches)

    wait_until(lambda: is_watched("servers") and is_watched("op"))


def change_unheard(store: StoreStandIn, case: Case) -> None:
    """Make a change; the watches end without it, and with its revision."""
    wait_until_watching(store)
    store.is_muted = True
    case.change(store)
    store.end_waits()


def hear_again(store: StoreStandIn) -> None:
    store.is_muted = False


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
@pytest.mark.parametrize("gap_s", GAPS_S)
@pytest.mark.parametrize("end", [StoreStandIn.forget_unheard, hear_again])
def test_a_change_that_no_watch_heard_is_applied_in_time(
    store: StoreStandIn, case: Case, gap_s: float, end: Callable[[StoreStandIn], None]
) -> None:
    """Guards against requests to an endpoint that left, until its next record."""
    entry = start_following_entry(store, APPLY_DEADLINE_S)
    change_unheard(store, case)
    eventlet.sleep(gap_s)
    assert not case.is_applied(entry)
    end(store)
    eventlet.sleep(APPLY_DEADLINE_S)
    assert case.is_applied(entry)


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_a_change_that_no_watch_heard_before_an_outage_is_applied(
    store: StoreStandIn, case: Case
) -> None:
    """Guards against a revision that counts as complete since it was named long ago."""
    entry = start_following_entry(store, APPLY_DEADLINE_S)
    change_unheard(store, case)
    eventlet.sleep(0.3)
    store.failure_mode = 503
    store.end_watches()
    store.is_muted = False
    eventlet.sleep(2.5 * APPLY_DEADLINE_S)
    store.failure_mode = ""
    # An endpoint whose record is gone after an outage is kept for a while.
    eventlet.sleep(APPLY_DEADLINE_S + LAPSE_GRACE_S)
    entry.expire_lapsed_endpoints()
    assert case.is_applied(entry)


def test_a_quiet_store_is_not_listed_again_and_is_watched_as_often(
    store: StoreStandIn,
) -> None:
    start_following_entry(store, APPLY_DEADLINE_S)
    wait_until_watching(store)
    store.calls.clear()
    eventlet.sleep(3 * APPLY_DEADLINE_S)
    assert not [call for call in store.calls if "kv-range" in call]
    # Two prefixes, each held for at least 0.48 of the deadline.
    assert len(store.calls) <= 2 * (3 / 0.48 + 1)


def test_an_entry_that_knows_that_it_lacks_changes_does_not_seem_up_to_date(
    store: StoreStandIn,
) -> None:
    """Guards against peers that skip their calls since a reader was refused a watch."""
    entry = start_following_entry(store, APPLY_DEADLINE_S)
    wait_until_watching(store)
    feed = entry.feeds.endpoints
    before = feed.last_response_at
    store.delete("servers/i-1")
    # The watches are refused, and the lists that follow are not answered.
    store.compact_history()
    store.answers_lists = False
    eventlet.sleep(0.3)
    assert feed.last_response_at == before
    assert entry._make_digest().endpoints_age_s >= 0.3
