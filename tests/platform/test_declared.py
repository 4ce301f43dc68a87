"""What operators and endpoints publish."""

from __future__ import annotations

import json
from typing import Any

import pytest

from dockreach.direct.fleet import Repeat
from dockreach.errors import RevisionError
from dockreach_platform.declared import read_endpoint, read_revision


def route(**fields: object) -> dict[str, Any]:
    return {
        "name": "r",
        "host": "h",
        "path_prefix": "/p/",
        "type": "streaming",
        "timeout_ms": 4000,
        "target_latency_ms": 800,
        "priority": 1,
        "service": "s",
        **fields,
    }


def config(*routes: dict[str, Any]) -> bytes:
    tenant = {"name": "t", "api_keys": ["k"], "unit": "tokens", "rate_per_s": 5, "burst": 7}
    content = {"version": 7, "routes": routes, "services": [], "tenants": [tenant]}
    return json.dumps(content).encode()


@pytest.mark.parametrize(
    ("fields", "repeat"),
    [
        ({"type": "streaming", "resumable": True}, Repeat.RESUME),
        ({"type": "streaming"}, Repeat.NEVER),
        ({"type": "safe"}, Repeat.FREELY),
        ({"type": "unsafe"}, Repeat.NEVER),
    ],
)
def test_what_may_be_repeated(fields: dict[str, Any], repeat: Repeat) -> None:
    found = read_revision(config(route(**fields)))
    assert found.routes[0].repeat is repeat


def test_figures_are_turned_into_seconds_and_tokens() -> None:
    found = read_revision(config(route()))
    assert found.number == 7
    assert (found.routes[0].timeout_s, found.routes[0].objective_s) == (4.0, 0.8)
    organisation = found.organisation_of("k")
    assert organisation is not None
    assert (organisation.rate, organisation.burst, organisation.tier) == (5, 7, None)


def test_a_split_route_has_several_services() -> None:
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    found = read_revision(config(route(traffic_split=split, service="")))
    assert [part.service for part in found.routes[0].splits] == ["a", "b"]


@pytest.mark.parametrize("text", [b"", b"{}", b'{"version": "x"}', b"\xff"])
def test_what_is_no_configuration_is_refused(text: bytes) -> None:
    with pytest.raises(RevisionError):
        read_revision(text)


def test_an_endpoints_entry() -> None:
    entry = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 5}
    found = read_endpoint("i-1", json.dumps({**entry, "state": "draining"}).encode())
    assert (found.id, found.hall, found.slots, found.leaving) == ("i-1", "z", 5, True)
    assert not read_endpoint("i-1", json.dumps(entry).encode()).leaving


def test_an_endpoints_entry_that_is_not_valid_is_refused() -> None:
    with pytest.raises(RevisionError):
        read_endpoint("i-1", b"{}")
