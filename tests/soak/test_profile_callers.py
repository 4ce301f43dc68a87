"""Callers of small deployments send what their profile tells."""

from __future__ import annotations

import random

import pytest

from .profile_callers import GRACE_S, ProfileCallers
from .profiles import PROFILES, Profile
from .stream_shapes import SHAPES, shape_of

REQUESTS = 600


def callers_of(profile: Profile) -> ProfileCallers:
    callers = ProfileCallers(
        lambda: [("entry-0", "127.0.0.1:1")], lambda: 1, {}, random.Random(3)
    )
    callers.profile, callers.kinds = profile, profile.kinds
    return callers


@pytest.mark.parametrize("profile", PROFILES.values(), ids=list(PROFILES))
def test_requests_have_the_kinds_bodies_and_deadlines_of_the_profile(
    profile: Profile,
) -> None:
    callers = callers_of(profile)
    rows = [callers._draw_request() for _ in range(REQUESTS)]
    assert {row.kind for row in rows} == set(profile.kinds) > set(SHAPES)
    assert {row.http for row in rows} == {"1.1"}
    assert {len(row.request_body) for row in rows} == set(profile.body_bytes)
    for row in rows:
        shape = shape_of(row.rid)
        if shape is not None and row.timeout_s > 1.0:
            assert row.deadline_s == shape.timeout_s
            assert row.timeout_s == shape.timeout_s + GRACE_S
    assert any(row.timeout_s <= 1.0 for row in rows)


@pytest.mark.parametrize("profile", PROFILES.values(), ids=list(PROFILES))
def test_a_broken_stream_is_taken_up_as_often_as_the_profile_tells(
    profile: Profile,
) -> None:
    callers = callers_of(profile)
    assert {callers._draw_take_ups() for _ in range(REQUESTS)} == set(profile.retries)
