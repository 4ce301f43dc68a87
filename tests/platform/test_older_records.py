"""Older records of an endpoint that leaves or has gone, from peers and from the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import eventlet
import pytest

from dockreach.direct.entry import Entry
from dockreach.direct.view import View
from dockreach_platform.store import ItemBatch, StoreClient

from .store_standin import StoreStandIn, endpoint_record
from .test_follower import config_record, start_following_entry, wait_until

AHEAD = 100
"""How far a peer's list is ahead by changes of other endpoints, in revisions."""

BACK_S = 2.0
"""Time within which an endpoint that comes back serves, in seconds."""


@pytest.fixture(name="store")
def _store() -> StoreStandIn:
    store = StoreStandIn()
    store.put("op/config", config_record(3))
    for number in range(3):
        store.put(f"servers/i-{number}", endpoint_record(sequence=7))
    return store


def serving(entry: Entry) -> set[str]:
    return {row.id for row in entry.endpoints.accepting("s", None)}


def leave(store: StoreStandIn, entry: Entry) -> None:
    store.put("servers/i-1", endpoint_record(sequence=8, state="draining"))
    wait_until(lambda: "i-1" not in serving(entry))


def go(store: StoreStandIn, entry: Entry) -> None:
    store.delete("servers/i-1")
    wait_until(lambda: "i-1" not in serving(entry))


def view_of_lagging_peer(entry: Entry) -> View:
    """Return what a peer tells that misses the next change, and knows later ones."""
    view = entry.view()
    view.endpoints_revision += AHEAD
    return view


@pytest.mark.parametrize("end", [leave, go])
def test_a_peer_that_missed_the_end_does_not_let_an_endpoint_serve_again(
    store: StoreStandIn, end: Callable[[StoreStandIn, Entry], None]
) -> None:
    """Guards against requests to an endpoint that left, once a peer's view was taken."""
    entry = start_following_entry(store)
    view = view_of_lagging_peer(entry)
    end(store, entry)
    entry.apply_view(view, "lagging")
    assert serving(entry) == {"i-0", "i-2"}


def test_a_write_that_the_store_applied_late_does_not_let_an_endpoint_serve_again(
    store: StoreStandIn,
) -> None:
    entry = start_following_entry(store)
    leave(store, entry)
    store.put("servers/i-1", endpoint_record(sequence=6, slots=4))
    store.put("servers/i-9", endpoint_record())
    wait_until(lambda: "i-9" in serving(entry))
    assert serving(entry) == {"i-0", "i-2", "i-9"}


def test_a_response_that_a_peers_view_overtook_does_not_let_an_endpoint_serve_again(
    store: StoreStandIn, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests to an endpoint that left, after a slow response."""
    entry = start_following_entry(store)
    original = StoreClient.watch
    peers: list[Entry] = []

    def watch(client: StoreClient, prefix: str, *args: Any) -> ItemBatch:  # noqa: ANN401
        batch = original(client, prefix, *args)
        if prefix == "servers/" and batch.items and not peers:
            store.put("servers/i-1", endpoint_record(sequence=8, state="draining"))
            peers.append(start_following_entry(store))
            entry.apply_view(peers[0].view(), "peer")
        return batch

    monkeypatch.setattr(StoreClient, "watch", watch)
    store.put("servers/i-1", endpoint_record(sequence=7, slots=4))
    wait_until(lambda: bool(peers))
    # The pause after a response with changes is longer.
    eventlet.sleep(0.1)
    assert serving(entry) == {"i-0", "i-2"}


def test_a_later_process_under_the_id_of_one_that_left_serves(store: StoreStandIn) -> None:
    """Guards against an endpoint without requests, since its predecessor was leaving."""
    entry = start_following_entry(store)
    leave(store, entry)
    store.delete("servers/i-1")
    store.put("servers/i-1", endpoint_record(sequence=1))
    eventlet.sleep(BACK_S)
    assert serving(entry) == {"i-0", "i-1", "i-2"}
