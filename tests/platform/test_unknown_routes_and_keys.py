"""Requests for a route or with a key that the entry's configuration does not have.

Guards against refusals with 404 or 401 by a configuration that may no longer be the newest:
the route or the key may have been added since it was read.
"""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any

import eventlet
import pytest

from dockreach.direct.digest import Address
from dockreach.direct.entry import Entry
from dockreach_platform.follower import StoreFollower
from dockreach_platform.headers import PlatformAdapter
from tests.direct.standins import (
    Caller,
    EndpointStandIn,
    entry_settings,
    header_of,
    respond_fine,
    status_of,
)

from .store_standin import StoreStandIn, endpoint_record
from .test_freshness import has_revision, wait_until

APPLY_DEADLINE_S = 1.0
OUTDATED_S = 1.5 * APPLY_DEADLINE_S
"""Time without a response after which the configuration may be outdated, in seconds."""

FAILURES: list[int | str] = [503, 429, "reset", "silent"]
"""How the store turns an entry away."""

ROUTES = {"route": ("/new/x", "key-1"), "key": ("/old/x", "key-2")}
"""Path and key of a request that only the newer configuration allows, by what it adds."""

LATE = {"route": 404, "key": 401}


def config(version: int, *, has_more: bool) -> bytes:
    """Return a configuration; a later version has a route and a key more."""
    prefixes = ["/old/", "/new/"] if has_more else ["/old/"]
    routes = [
        {
            "name": prefix.strip("/"),
            "host": "tools.example",
            "path_prefix": prefix,
            "type": "safe",
            "timeout_ms": 3000,
            "service": "s",
        }
        for prefix in prefixes
    ]
    tenant = {"name": "t", "api_keys": ["key-1", "key-2"] if has_more else ["key-1"]}
    content: dict[str, Any] = {"version": version, "routes": routes, "tenants": [tenant]}
    content["services"] = [{"name": "s"}]
    return json.dumps(content).encode()


@pytest.fixture(name="store")
def _store() -> StoreStandIn:
    store = StoreStandIn()
    endpoint = EndpointStandIn(respond_fine)
    store.put("op/config", config(3, has_more=False))
    store.put("servers/i-1", endpoint_record(address=endpoint.address))
    return store


def start_entry(store: StoreStandIn, *seeds: Address) -> Entry:
    settings = replace(entry_settings(), apply_deadline_s=APPLY_DEADLINE_S, seeds=seeds)
    entry = Entry(settings, PlatformAdapter())
    entry.start()
    StoreFollower(store.address, entry).start()
    return entry


def start_ready_entry(store: StoreStandIn) -> Entry:
    entry = start_entry(store)
    wait_until(lambda: entry.is_ready, 3.0)
    return entry


def ask(entry: Entry, path: str, key: str = "key-1") -> bytes:
    """Send a request; return the response."""
    caller = Caller(entry)
    caller.send(path, method="GET", key=key)
    response = caller.read_response()
    caller.close()
    return response


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("added", ROUTES)
def test_what_was_added_while_the_store_turned_the_entry_away_is_not_denied(
    store: StoreStandIn, failure: int | str, added: str
) -> None:
    entry = start_ready_entry(store)
    store.failure_mode = failure
    store.put("op/config", config(4, has_more=True))
    store.cut_open_connections()
    eventlet.sleep(OUTDATED_S)
    response = ask(entry, *ROUTES[added])
    assert status_of(response) == 503
    assert float(header_of(response, b"retry-after") or 0) > 0
    store.failure_mode = ""
    wait_until(lambda: has_revision(entry, 4), 3.0)
    assert status_of(ask(entry, *ROUTES[added])) == 200


@pytest.mark.parametrize("added", ROUTES)
def test_what_was_added_while_a_connection_to_the_store_is_silent_is_served(
    store: StoreStandIn, added: str
) -> None:
    entry = start_ready_entry(store)
    # The call that waits is not answered, and is given up much later than here.
    entry.feeds.configuration.known_at -= 60.0
    store.stall_open_connections()
    store.put("op/config", config(4, has_more=True))
    assert status_of(ask(entry, *ROUTES[added])) == 200


@pytest.mark.parametrize("added", ROUTES)
def test_what_was_added_since_a_peer_told_the_configuration_is_not_denied(
    store: StoreStandIn, added: str
) -> None:
    first = start_ready_entry(store)
    store.failure_mode = 503
    eventlet.sleep(OUTDATED_S)
    entry = start_entry(store, first.settings.gossip_address)
    wait_until(lambda: entry.is_ready, 3.0)
    assert has_revision(entry, 3)
    assert status_of(ask(entry, *ROUTES[added])) == 503


def test_a_newer_configuration_that_is_not_valid_leaves_unknown_routes_open(
    store: StoreStandIn,
) -> None:
    entry = start_ready_entry(store)
    store.put("op/config", b"no configuration")
    eventlet.sleep(OUTDATED_S)
    assert status_of(ask(entry, "/new/x")) == 503
    assert status_of(ask(entry, "/old/x")) == 200


@pytest.mark.parametrize("added", ROUTES)
def test_what_no_configuration_has_is_denied_at_once_in_calm(
    store: StoreStandIn, added: str
) -> None:
    entry = start_ready_entry(store)
    eventlet.sleep(OUTDATED_S)
    asked = [ask(entry, *ROUTES[added]) for _ in range(50)]
    assert {status_of(response) for response in asked} == {LATE[added]}
    assert not any("path_prefix=op%2Fconfig" in call for call in store.calls)


def test_a_peer_that_the_store_answers_confirms_that_a_route_is_unknown(
    store: StoreStandIn,
) -> None:
    away = StoreStandIn()
    first = start_ready_entry(store)
    away.failure_mode = 503
    entry = start_entry(away, first.settings.gossip_address)
    wait_until(lambda: entry.is_ready, 3.0)
    assert status_of(ask(entry, "/new/x")) == 404
    store.put("op/config", config(4, has_more=True))
    wait_until(lambda: has_revision(entry, 4), 3.0)
    assert status_of(ask(entry, "/new/x")) == 200


def test_many_requests_with_unknown_keys_share_the_calls_to_the_store(
    store: StoreStandIn,
) -> None:
    entry = start_ready_entry(store)
    entry.feeds.configuration.known_at -= 60.0
    store.failure_mode = "silent"
    before = len(store.calls)
    waiting = [eventlet.spawn(ask, entry, "/old/x", f"bad-{i}") for i in range(100)]
    statuses = {status_of(waiter.wait()) for waiter in waiting}
    assert statuses == {503}
    # Those of the two feeds that are open anyway, and some of the same second.
    assert len(store.calls) - before < 10


@pytest.mark.parametrize("added", ["body", "head"])
def test_a_request_over_limits_that_may_have_been_raised_is_not_denied_for_good(
    store: StoreStandIn, added: str
) -> None:
    entry = start_ready_entry(store)
    store.failure_mode = 503
    store.cut_open_connections()
    eventlet.sleep(OUTDATED_S)
    caller = Caller(entry)
    extra = {"body": f"Content-Length: {5 << 20}", "head": "X: " + 20_000 * "x"}[added]
    caller.send("/old/x", method="PUT", extra=f"{extra}\r\n")
    assert status_of(caller.read_response()) == 503
    store.failure_mode = ""
    wait_until(lambda: not entry.feeds.configuration.consecutive_failures, 3.0)
    caller = Caller(entry)
    caller.send("/old/x", method="PUT", extra=f"{extra}\r\n")
    assert status_of(caller.read_response()) in (413, 431)
