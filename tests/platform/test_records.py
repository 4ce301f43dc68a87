"""Decoding the store's records: the configuration and the endpoints' records."""

from __future__ import annotations

import contextlib
import copy
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dockreach.direct import datagrams, view
from dockreach.direct.record_checks import RecordError, RecordFault
from dockreach.direct.routing_config import ConfigRevision, RetryMode
from dockreach.errors import RevisionError
from dockreach_platform.records import read_endpoint, read_revision

from ..direct.core_builders import address, digest
from ..peer_bytes import JSON_EDGE_VALUES, damaged, with_edge_value
from .store_standin import ENDPOINT_RECORD, endpoint_record


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
    ("fields", "retry_mode"),
    [
        ({"type": "streaming", "resumable": True}, RetryMode.RESUME),
        ({"type": "streaming"}, RetryMode.NEVER),
        ({"type": "safe"}, RetryMode.ALWAYS),
        ({"type": "unsafe"}, RetryMode.NEVER),
    ],
)
def test_route_type_decides_the_retry_mode(
    fields: dict[str, Any], retry_mode: RetryMode
) -> None:
    found = read_revision(config(route(**fields)))
    assert found.routes[0].retry_mode is retry_mode


def test_times_are_converted_to_seconds_and_quotas_are_read() -> None:
    found = read_revision(config(route()))
    assert found.number == 7
    assert (found.routes[0].timeout_s, found.routes[0].objective_s) == (4.0, 0.8)
    organisation = found.organisation_of("k")
    assert organisation is not None
    assert (organisation.rate, organisation.burst, organisation.tier) == (5, 7, None)


def test_a_traffic_split_has_several_services() -> None:
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    found = read_revision(config(route(traffic_split=split, service="")))
    assert [part.service for part in found.routes[0].splits] == ["a", "b"]


@pytest.mark.parametrize("text", [b"", b"{}", b'{"version": "x"}', b"\xff"])
def test_an_invalid_configuration_is_rejected(text: bytes) -> None:
    with pytest.raises(RevisionError):
        read_revision(text)


def test_an_endpoints_record_is_decoded() -> None:
    found = read_endpoint("i-1", endpoint_record(state="draining"))
    assert (found.id, found.hall, found.slots, found.leaving) == ("i-1", "z", 5, True)
    assert not read_endpoint("i-1", endpoint_record()).leaving


@pytest.mark.parametrize("version", ["v1.2", "", "\u00e9 / 7"])
def test_the_software_version_is_decoded_as_it_is(version: str) -> None:
    found = read_endpoint("i-1", endpoint_record(version=version))
    assert found.software_version == version


def test_start_time_sequence_and_remaining_warm_up_are_decoded() -> None:
    text = endpoint_record(born=1_700_000_000_123, sequence=4, cold_remaining_ms=1500)
    found = read_endpoint("i-1", text)
    assert (found.born, found.sequence, found.cold_s) == (1_700_000_000_123, 4, 1.5)


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"{}",
        b"\xff\xfe",
        b"[]",
        b"null",
        endpoint_record(state="warming"),
        endpoint_record(state=None),
        endpoint_record(service=""),
        endpoint_record(service=7),
        endpoint_record(address="10.0.0.1"),
        endpoint_record(address="10.0.0.1:0"),
        endpoint_record(address="10.0.0.1:70000"),
        endpoint_record(address="10.0.0.256:80"),
        endpoint_record(address="redactor.example:80"),
        endpoint_record(address="10.0.0.1:80\n"),
        endpoint_record(slots=0),
        endpoint_record(slots="5"),
        endpoint_record(slots=2.5),
        endpoint_record(born=1.5),
        endpoint_record(born="1"),
        endpoint_record(born=-1),
        endpoint_record(cold_remaining_ms="soon"),
        endpoint_record(cold_remaining_ms=-1),
        endpoint_record(sequence=1.5),
        endpoint_record(zone=None),
    ],
)
def test_a_record_with_an_invalid_field_is_rejected(text: bytes) -> None:
    with pytest.raises(RevisionError):
        read_endpoint("i-1", text)


def with_literal(field: str, text: str) -> bytes:
    """Return a record in which a field has a value that is written as it is."""
    return endpoint_record(**{field: "@"}).replace(b'"@"', text.encode())


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (with_literal("unknown", "[" * 1100 + "]" * 1100), RecordFault.NESTING),
        (with_literal("unknown", '{"a":' * 50_000), RecordFault.NESTING),
        (with_literal("slots", "9" * 20), RecordFault.NUMBER),
        (with_literal("slots", "9" * 400), RecordFault.NUMBER),
        (with_literal("slots", "9" * 5000), RecordFault.NUMBER),
        (with_literal("slots", "-1"), RecordFault.NUMBER),
        (with_literal("slots", "1e400"), RecordFault.NUMBER),
        (with_literal("sequence", "9" * 400), RecordFault.NUMBER),
        (with_literal("born", "9" * 400), RecordFault.NUMBER),
        (with_literal("cold_remaining_ms", "9" * 400), RecordFault.NUMBER),
        (with_literal("cold_remaining_ms", "1e308"), RecordFault.NUMBER),
        (with_literal("cold_remaining_ms", "1e400"), RecordFault.NUMBER),
        (with_literal("slots", "NaN"), RecordFault.FORM),
        (with_literal("slots", "Infinity"), RecordFault.FORM),
        (with_literal("slots", "\u0665"), RecordFault.FORM),
        (with_literal("slots", '"5"'), RecordFault.FORM),
        (with_literal("slots", "[5]"), RecordFault.FORM),
        (endpoint_record(address="10.0.0.1:70000"), RecordFault.ADDRESS),
        (endpoint_record(address="10.0.0.1:8\u0660"), RecordFault.ADDRESS),
        (endpoint_record(address="10.0.0.\u00b2:80"), RecordFault.ADDRESS),
        (endpoint_record(address=80), RecordFault.FORM),
        (endpoint_record(service="\ud800"), RecordFault.FORM),
        (b"", RecordFault.FORM),
        (b"\xff", RecordFault.FORM),
    ],
)
def test_an_odd_record_is_refused_for_one_of_the_documented_reasons(
    text: bytes, fault: RecordFault
) -> None:
    with pytest.raises(RecordError) as found:
        read_endpoint("i-1", text)
    assert found.value.fault is fault


@pytest.mark.parametrize("field", sorted(ENDPOINT_RECORD))
def test_a_record_without_a_required_field_is_rejected(field: str) -> None:
    record = {name: value for name, value in ENDPOINT_RECORD.items() if name != field}
    with pytest.raises(RevisionError):
        read_endpoint("i-1", json.dumps(record).encode())


@given(st.binary())
def test_any_bytes_are_decoded_or_rejected(text: bytes) -> None:
    with contextlib.suppress(RevisionError):
        read_endpoint("i-1", text)


@given(
    st.sampled_from(sorted(ENDPOINT_RECORD)),
    st.none()
    | st.booleans()
    | st.floats(allow_nan=False)
    | st.text()
    | st.lists(st.none()),
)
def test_a_record_with_any_field_value_is_decoded_or_rejected(
    field: str, value: object
) -> None:
    with contextlib.suppress(RevisionError):
        found = read_endpoint("i-1", endpoint_record(**{field: value}))
        assert found.slots > 0
        assert found.service
        assert found.address.count(":") == 1


def test_regions_and_cold_start_limits_are_decoded() -> None:
    service = {"name": "s", "cold_start_s": 3.0, "cold_per_s": 8.3}
    tenant = {"name": "t", "api_keys": ["k"], "allowed_regions": ["r2"]}
    content = {
        "version": 7,
        "routes": [route(allowed_regions=["r1"])],
        "services": [service],
        "tenants": [tenant],
    }
    found = read_revision(json.dumps(content).encode())
    assert found.routes[0].regions == {"r1"}
    assert found.organisations[0].regions == {"r2"}
    assert (found.services["s"].cold_start_s, found.services["s"].cold_rate) == (3.0, 8.3)


@pytest.mark.parametrize(
    ("service", "path"),
    [
        ({"health_path": "/health?all=1"}, "/health?all=1"),
        ({}, ""),
        ({"health_path": ""}, ""),
        ({"health_path": "health"}, ""),
        ({"health_path": "/a b"}, ""),
        ({"health_path": "/a\r\nHost: b"}, ""),
        ({"health_path": "/caf\u00e9"}, ""),
    ],
)
def test_a_health_path_that_no_request_can_name_is_left_out(
    service: dict[str, str], path: str
) -> None:
    content = {"version": 7, "services": [{"name": "s", **service}]}
    assert read_revision(json.dumps(content).encode()).services["s"].health_path == path


CONFIG = {
    "version": 7,
    "routes": [
        route(traffic_split=[{"service": "s", "weight": 0.5}], allowed_regions=["r"])
    ],
    "services": [{"name": "s", "max_connections": 5, "engine": {"stride": 4.0}}],
    "tenants": [
        {"name": "t", "api_keys": ["k"], "priority": 1, "rate_per_s": 5, "burst": 7}
    ],
    "limits": {"max_header_bytes": 16384, "header_timeout_ms": 1000.0},
}


def read_or_reject(text: bytes) -> None:
    """Read a configuration, or raise nothing but the documented error."""
    try:
        found = read_revision(text)
    except RevisionError as exc:
        assert str(exc)
        return
    assert isinstance(found, ConfigRevision)
    assert found.text == text
    assert all(route_.max_attempts >= 1 for route_ in found.routes)


@given(st.binary(max_size=200))
def test_any_bytes_are_a_configuration_or_rejected(text: bytes) -> None:
    read_or_reject(text)


@settings(deadline=None)
@given(damaged([json.dumps(CONFIG).encode()]))
def test_a_damaged_configuration_is_read_or_rejected(text: bytes) -> None:
    read_or_reject(text)


@settings(deadline=None)
@given(with_edge_value([CONFIG], JSON_EDGE_VALUES))
def test_a_configuration_with_an_edge_value_is_read_or_rejected(tree: object) -> None:
    read_or_reject(json.dumps(tree).encode())


@settings(deadline=None)
@given(damaged([endpoint_record()]))
def test_a_damaged_record_is_decoded_or_rejected(text: bytes) -> None:
    with contextlib.suppress(RevisionError):
        found = read_endpoint("i-1", text)
        assert found.slots > 0
        assert found.service
        assert found.address.count(":") == 1


@pytest.mark.parametrize("field", ["born", "sequence", "slots"])
@pytest.mark.parametrize("value", [2**63, 2**64 - 1, 2**64, 10**30])
def test_a_record_that_is_accepted_can_be_relayed(field: str, value: int) -> None:
    """Guards against a record with which an entry cannot serve its view any more."""
    try:
        found = read_endpoint("i-1", endpoint_record(**{field: value}))
    except RevisionError:
        return
    relayed = view.View(7, b"", 1, [found])
    assert view.decode(view.encode(relayed)) == relayed


Keys = tuple[str | int, ...]


def numbers_of(tree: object, path: Keys = ()) -> list[Keys]:
    """Return the paths of all numbers in a tree of lists and mappings."""
    if isinstance(tree, dict | list):
        parts = tree.items() if isinstance(tree, dict) else enumerate(tree)
        return [found for key, part in parts for found in numbers_of(part, (*path, key))]
    return [path] if isinstance(tree, int | float) else []


def with_number(path: Keys, value: float) -> bytes:
    """Return the full configuration with one of its numbers replaced."""
    tree = copy.deepcopy(FULL_CONFIG)
    part: Any = tree
    for key in path[:-1]:
        part = part[key]
    part[path[-1]] = value
    return json.dumps(tree).encode()


FULL_CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        route(
            traffic_split=[{"service": "s", "weight": 0.5}], max_attempts=2, gap_aim_ms=300
        )
    ],
    "services": [
        {
            "name": "s",
            "max_connections": 5,
            "engine": {"stride": 4.0},
            "cold_start_s": 1.0,
            "cold_per_s": 2.0,
        }
    ],
    "tenants": [
        {
            "name": "t",
            "api_keys": ["k"],
            "priority": 1,
            "plain_tokens": 200,
            "rate_per_s": 5,
            "burst": 7,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 65536,
        "header_timeout_ms": 1000.0,
        "idle_timeout_ms": 1000.0,
    },
}


@pytest.mark.parametrize("value", [2**64, 10**30, 10**400, 1e300, -(10**30), -1e300])
@pytest.mark.parametrize(
    "path", numbers_of(FULL_CONFIG), ids=lambda path: ".".join(map(str, path))
)
def test_a_configuration_with_an_absurd_number_is_rejected(
    path: Keys, value: float
) -> None:
    """Guards against sums and products that no message and no timer can hold."""
    assert read_revision(with_number(path, 9)).number in (7, 9)
    with pytest.raises(RevisionError):
        read_revision(with_number(path, value))


@pytest.mark.parametrize("version", [0, -1, 2**63, 2**64 - 1, 2**64, 10**30])
def test_a_configuration_that_is_accepted_can_be_announced(version: int) -> None:
    """Guards against a version with which an entry sends no digests any more."""
    try:
        found = read_revision(json.dumps({**CONFIG, "version": version}).encode())
    except RevisionError:
        return
    announced = digest(address(1), revision=found.number)
    assert datagrams.decode(datagrams.encode(announced)) == announced
