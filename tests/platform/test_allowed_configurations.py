"""Every configuration that the operator may write is accepted.

Guards against a newest configuration that this entry refuses, so that it goes on with an
older one: routes and keys that were added are then unknown to it.
"""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from dockreach_platform.field_types import MAX_FIGURE, MAX_REVISION
from dockreach_platform.records import read_revision

_NAMES = st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=12)
_PREFIXES = st.lists(st.text("abcXYZ019-._~%", min_size=1, max_size=6), max_size=3).map(
    lambda parts: "".join(f"/{part}" for part in parts) + "/"
)
_SMALL_WHOLES = st.integers(0, 10_000)


def _wholes(values: st.SearchStrategy[int]) -> st.SearchStrategy[int | float]:
    """Return whole numbers, also as JSON numbers with a fraction of zero."""
    return values | values.filter(lambda value: value < 2**53).map(float)


_WHOLES = _wholes(_SMALL_WHOLES | st.integers(0, MAX_FIGURE))
_FIGURES = _WHOLES | st.floats(0, MAX_FIGURE)
_VERSIONS = _wholes(_SMALL_WHOLES | st.integers(0, MAX_REVISION))
_UNKNOWN = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | _NAMES,
    lambda values: (
        st.lists(values, max_size=3) | st.dictionaries(_NAMES, values, max_size=3)
    ),
    max_leaves=6,
)


def _objects(
    required: dict[str, st.SearchStrategy[Any]], optional: dict[str, st.SearchStrategy[Any]]
) -> st.SearchStrategy[dict[str, Any]]:
    """Return objects without some optional fields, and with a field that is unknown."""
    more = {**optional, "later_field": _UNKNOWN}
    return st.fixed_dictionaries(required, optional=more)


_REGIONS = st.lists(_NAMES, max_size=2)
_SPLITS = st.lists(_objects({"service": _NAMES, "weight": _FIGURES}, {}), max_size=3)
_ROUTES = _objects(
    {
        "name": _NAMES,
        "host": _NAMES,
        "path_prefix": _PREFIXES,
        "type": st.sampled_from(["safe", "unsafe", "streaming"]),
        "timeout_ms": _FIGURES,
    },
    {
        "target_latency_ms": _FIGURES,
        "priority": _WHOLES,
        "service": _NAMES,
        "traffic_split": _SPLITS,
        "max_attempts": _WHOLES,
        "public": st.booleans(),
        "resumable": st.booleans(),
        "session_affinity": _UNKNOWN,
        "gap_aim_ms": _FIGURES,
        "allowed_regions": _REGIONS,
    },
)
_SERVICES = _objects(
    {"name": _NAMES},
    {
        "health_path": st.sampled_from(["", "/health", "/h%20/é"]),
        "max_connections": _WHOLES,
        "engine": _objects({}, {"stride": _FIGURES}),
        "cold_start_s": _FIGURES,
        "cold_per_s": _FIGURES,
    },
)
_TENANTS = _objects(
    {"name": _NAMES},
    {
        "api_keys": st.lists(_NAMES, max_size=3),
        "priority": _WHOLES,
        "unit": st.sampled_from(["tokens", "requests"]),
        "plain_tokens": _WHOLES,
        "rate_per_s": _FIGURES,
        "burst": _FIGURES,
        "allowed_regions": _REGIONS,
    },
)
_LIMITS = _objects(
    {},
    {
        "max_header_bytes": _WHOLES,
        "max_body_bytes": _WHOLES,
        "header_timeout_ms": _FIGURES,
        "idle_timeout_ms": _FIGURES,
    },
)
_CONFIGURATIONS = _objects(
    {"version": _VERSIONS},
    {
        "routes": st.lists(_ROUTES, max_size=3),
        "services": st.lists(_SERVICES, max_size=3),
        "limits": _LIMITS,
        "tenants": st.lists(_TENANTS, max_size=3),
    },
)


@settings(max_examples=1000, deadline=None)
@given(_CONFIGURATIONS, st.booleans())
def test_an_allowed_configuration_is_accepted_with_all_its_routes_and_keys(
    content: dict[str, Any], has_escapes: bool
) -> None:
    text = json.dumps(content, ensure_ascii=has_escapes).encode()
    found = read_revision(text)
    assert found.number == content["version"]
    for route in content.get("routes", ()):
        assert found.match(route["host"], route["path_prefix"] + "x") is not None
    for route, decoded in zip(content.get("routes", ()), found.routes, strict=True):
        names = [split["service"] for split in route.get("traffic_split", ())]
        assert [split.service for split in decoded.splits] == (
            names or [route.get("service", "")]
        )
        assert decoded.tier == route.get("priority", 0)
    for tenant in content.get("tenants", ()):
        for key in tenant.get("api_keys", ()):
            assert found.organisation_of(key) is not None
