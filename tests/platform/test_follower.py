"""Following the store: pages, watches, and all the ways in which it is away."""

from __future__ import annotations

import json
from dataclasses import replace

import eventlet
import pytest

from dockreach import clock
from dockreach.direct.entry import Entry
from dockreach.direct.feeds import CallLimits
from dockreach.direct.fleet import Revision
from dockreach.errors import PlatformError
from dockreach_platform.follower import Follower
from dockreach_platform.headers import PlatformDialect
from dockreach_platform.store import HistoryGoneError, Store
from tests.direct.standins import entry_settings

from .store_standin import StoreStandIn, endpoint_entry

LIMITS = CallLimits(wait_s=0.1, answer_s=1.0)


def server(state: str = "ready") -> bytes:
    return endpoint_entry(address="127.0.0.1:9", slots=3, state=state)


def config(version: int) -> bytes:
    return json.dumps({"version": version}).encode()


@pytest.fixture(name="store")
def _store() -> StoreStandIn:
    store = StoreStandIn()
    store.put("op/config", config(3))
    for number in range(5):
        store.put(f"servers/i-{number}", server())
    return store


def follow(store: StoreStandIn, in_force_s: float = 2.0) -> Entry:
    settings = replace(entry_settings(), in_force_s=in_force_s)
    entry = Entry(settings, PlatformDialect())
    Follower(store.address, entry).start()
    wait_for(entry, ready=True)
    return entry


def wait_for(entry: Entry, *, ready: bool) -> None:
    for _ in range(100):
        if entry.is_ready is ready:
            return
        eventlet.sleep(0.02)


def test_all_pages_are_read(store: StoreStandIn) -> None:
    entry = follow(store)
    assert entry.is_ready
    assert len(entry.endpoints) == 5
    assert entry.revision is not None
    assert entry.revision.number == 3


def test_changes_are_followed(store: StoreStandIn) -> None:
    entry = follow(store)
    store.put("op/config", config(4))
    store.put("servers/i-0", server("draining"))
    store.delete("servers/i-1")
    eventlet.sleep(0.6)
    row = entry.endpoints.get("i-0")
    assert row is not None
    assert row.published.leaving
    assert entry.endpoints.get("i-1") is None
    assert entry.revision is not None
    assert entry.revision.number == 4


def test_changes_in_quick_succession_are_gathered(store: StoreStandIn) -> None:
    entry = follow(store)
    eventlet.sleep(0.4)
    calls = len(store.calls)
    for version in range(10, 30):
        store.put("op/config", config(version))
        eventlet.sleep(0.03)
    eventlet.sleep(0.4)
    assert entry.revision is not None
    assert entry.revision.number == 29
    assert len(store.calls) - calls <= 6


def test_a_forgotten_history_is_read_anew(store: StoreStandIn) -> None:
    entry = follow(store)
    store.put("servers/i-9", server())
    store.delete("servers/i-2")
    store.forget()
    eventlet.sleep(0.3)
    assert entry.endpoints.get("i-9") is not None
    assert entry.endpoints.get("i-2") is None


@pytest.mark.parametrize("failing", [503, 429, "reset"])
def test_after_an_outage_what_vanished_is_kept_and_changes_are_found(
    store: StoreStandIn, failing: int | str
) -> None:
    entry = follow(store)
    store.failing = failing
    store.delete("servers/i-3")
    store.put("op/config", config(8))
    eventlet.sleep(0.5)
    store.failing = ""
    eventlet.sleep(1.2)
    row = entry.endpoints.get("i-3")
    assert row is not None
    assert row.lapsed_until is not None
    assert entry.revision is not None
    assert entry.revision.number == 8


def test_what_leaves_after_the_outage_is_gone_at_once(store: StoreStandIn) -> None:
    entry = follow(store)
    store.failing = 503
    store.put("op/other", b"")
    store.put("servers/i-9", server())
    eventlet.sleep(0.3)
    store.failing = ""
    eventlet.sleep(1.8)
    store.delete("servers/i-3")
    eventlet.sleep(0.3)
    assert entry.endpoints.get("i-3") is None


def test_what_leaves_while_the_first_watch_after_an_outage_waits_is_gone_at_once(
    store: StoreStandIn,
) -> None:
    entry = follow(store)
    store.failing = "reset"
    store.cut()
    eventlet.sleep(0.3)
    store.failing = ""
    eventlet.sleep(1.8)
    store.delete("servers/i-3")
    eventlet.sleep(0.3)
    assert entry.endpoints.get("i-3") is None


def test_an_entry_that_is_back_in_time_is_not_lost(store: StoreStandIn) -> None:
    entry = follow(store)
    store.failing = 503
    store.delete("servers/i-3")
    eventlet.sleep(0.3)
    store.failing = ""
    eventlet.sleep(0.9)
    store.put("servers/i-3", server())
    eventlet.sleep(2.0)
    assert entry.endpoints.get("i-3") is not None


def test_a_silent_store_is_left_after_a_while(store: StoreStandIn) -> None:
    entry = follow(store, in_force_s=0.4)
    store.failing = "silent"
    eventlet.sleep(0.4)
    store.failing = ""
    store.put("servers/i-7", server())
    eventlet.sleep(1.8)
    assert entry.endpoints.get("i-7") is not None


def test_each_failed_call_is_logged_with_the_time_that_it_was_held(
    store: StoreStandIn, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO", logger="dockreach")
    entry = follow(store)
    store.failing = 503
    store.cut()
    eventlet.sleep(0.6)
    failed = [row for row in caplog.records if vars(row)["event"] == 307]
    mine = [vars(row) for row in failed if vars(row)["prefix"] == "op/"]
    assert [row["failures"] for row in mine] == list(range(1, len(mine) + 1))
    assert len(mine) > 1
    assert {row["call"] for row in mine} == {"watch"}
    assert "503" in mine[0]["message"]
    assert mine[0]["held_ms"] < 1000
    assert entry.feeds.configuration.failed_calls == len(mine)


def test_the_metrics_tell_how_old_what_was_read_is(store: StoreStandIn) -> None:
    entry = follow(store)
    store.failing = 503
    store.cut()
    eventlet.sleep(0.5)
    samples = list(entry.feeds.samples(clock.now(), entry.started))
    ages = [row for row in samples if row.name == "dockreach_direct_feed_age_seconds"]
    assert [row.labels["feed"] for row in ages] == ["configuration", "endpoints"]
    assert all(0.4 < row.value < 2.0 for row in ages)


def test_errors_of_the_store_are_told_apart(store: StoreStandIn) -> None:
    reader = Store(store.address)
    store.forget()
    with pytest.raises(HistoryGoneError):
        reader.watch("servers/", 1, LIMITS)
    store.failing = 503
    with pytest.raises(PlatformError, match="503"):
        reader.list("servers/", LIMITS)


def test_a_value_that_cannot_be_read_costs_the_others_nothing(
    store: StoreStandIn, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO", logger="dockreach")
    store.spoil("servers/i-2")
    entry = follow(store)
    assert entry.endpoints.get("i-2") is None
    assert len(entry.endpoints) == 4
    (line,) = [vars(row) for row in caplog.records if vars(row)["event"] == 532]
    assert line["endpoint"] == "i-2"


def test_a_configuration_that_cannot_be_read_is_refused_and_orders_beside_it_hold(
    store: StoreStandIn, caplog: pytest.LogCaptureFixture
) -> None:
    entry = follow(store)
    caplog.set_level("INFO", logger="dockreach")
    store.spoil("op/config")
    store.put("op/evacuate/z", b"{}")
    store.forget()
    eventlet.sleep(0.3)
    assert entry.endpoints.emptied == {"z"}
    assert entry.revision is not None
    assert entry.revision.number == 3
    assert [row for row in caplog.records if vars(row)["event"] == 301]


def test_a_fault_of_the_program_does_not_end_the_following(
    store: StoreStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    entry = follow(store)
    faults = iter([ZeroDivisionError("a fault of the program")])
    take = entry.take_revision

    def faulty(revision: Revision, source: str) -> bool:
        for fault in faults:
            raise fault
        return take(revision, source)

    monkeypatch.setattr(entry, "take_revision", faulty)
    store.put("op/config", config(8))
    eventlet.sleep(1.0)
    assert entry.revision is not None
    assert entry.revision.number == 8


def test_a_store_that_is_not_there_is_an_error_at_once() -> None:
    with pytest.raises(PlatformError):
        Store("127.0.0.1:9").list("op/", LIMITS)


def test_entries_that_are_not_valid_are_left_out(store: StoreStandIn) -> None:
    store.put("servers/i-bad", b"{}")
    entry = follow(store)
    assert entry.endpoints.get("i-bad") is None
    assert len(entry.endpoints) == 5


def test_an_entry_that_turns_bad_names_no_endpoint_and_is_told_once(
    store: StoreStandIn, caplog: pytest.LogCaptureFixture
) -> None:
    entry = follow(store)
    caplog.set_level("INFO", logger="dockreach")
    for _ in range(3):
        store.put("servers/i-1", b"\xff not text")
        eventlet.sleep(0.3)
    assert entry.endpoints.get("i-1") is None
    assert len(entry.endpoints) == 4
    refused = [vars(row) for row in caplog.records if vars(row)["event"] == 532]
    assert [row["endpoint"] for row in refused] == ["i-1"]
    assert entry.feeds.refused_entries == 1
    store.put("servers/i-1", server())
    eventlet.sleep(0.3)
    assert entry.endpoints.get("i-1") is not None


def test_an_entry_that_turned_bad_during_an_outage_is_not_kept(
    store: StoreStandIn,
) -> None:
    entry = follow(store)
    store.failing = 503
    store.put("servers/i-3", b"{}")
    store.forget()
    eventlet.sleep(0.3)
    store.failing = ""
    eventlet.sleep(1.2)
    assert entry.endpoints.get("i-3") is None


def test_a_changed_service_moves_the_endpoint(store: StoreStandIn) -> None:
    entry = follow(store)
    store.put("servers/i-0", endpoint_entry(service="other"))
    eventlet.sleep(0.4)
    assert "i-0" not in [row.id for row in entry.endpoints.of_service("s")]
    assert [row.id for row in entry.endpoints.of_service("other")] == ["i-0"]


def test_halls_are_emptied_and_taken_back(store: StoreStandIn) -> None:
    entry = follow(store)
    store.put("op/evacuate/z", b"{}")
    store.put("op/config", config(9))
    eventlet.sleep(0.4)
    assert entry.endpoints.emptied == {"z"}
    assert entry.endpoints.usable("s", clock.now()) == []
    assert entry.revision is not None
    assert entry.revision.number == 9
    store.delete("op/evacuate/z")
    eventlet.sleep(0.6)
    assert entry.endpoints.emptied == frozenset()
    assert len(entry.endpoints.usable("s", clock.now())) == 5


def test_an_order_given_and_withdrawn_at_once_empties_nothing(
    store: StoreStandIn,
) -> None:
    entry = follow(store)
    store.put("op/evacuate/z", b"{}")
    store.delete("op/evacuate/z")
    eventlet.sleep(0.6)
    assert entry.endpoints.emptied == frozenset()


def test_orders_given_and_withdrawn_while_history_is_forgotten_are_known(
    store: StoreStandIn,
) -> None:
    entry = follow(store)
    store.put("op/evacuate/z", b"{}")
    store.forget()
    eventlet.sleep(0.4)
    assert entry.endpoints.emptied == {"z"}
    before = entry.emptied.revision
    store.delete("op/evacuate/z")
    store.forget()
    eventlet.sleep(0.6)
    assert entry.endpoints.emptied == frozenset()
    assert entry.emptied.revision > before


def test_an_entry_that_has_just_started_knows_which_halls_are_empty(
    store: StoreStandIn,
) -> None:
    store.put("op/evacuate/z", b"{}")
    entry = follow(store)
    assert entry.endpoints.emptied == {"z"}
