"""Two attempts of one request have the same fingerprint; two requests do not."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dockreach.direct.fingerprint import FINGERPRINT_BYTES, fingerprint_of
from dockreach.direct.requests import InboundRequest

REQUEST = InboundRequest(
    rid="r-1",
    method=b"POST",
    target=b"/draft/a?x=1",
    host="tools.example",
    headers=[],
    body=b"text",
    key="key-1",
    deadline_s=1.0,
    prompt_tokens=10,
    max_output_tokens=10,
    expected_output_tokens=0,
    has_token_counts=True,
    prefix=(),
    last_event_id="",
    arrived_at=1.0,
)


def test_id_deadline_and_arrival_time_do_not_change_the_fingerprint() -> None:
    again = replace(REQUEST, rid="r-2", deadline_s=0.5, arrived_at=9.0)
    assert fingerprint_of(again, "org") == fingerprint_of(REQUEST, "org")


@pytest.mark.parametrize(
    ("other", "organisation"),
    [
        (replace(REQUEST, target=b"/draft/a?x=2"), "org"),
        (replace(REQUEST, target=b"/draft/b?x=1"), "org"),
        (replace(REQUEST, body=b"texts"), "org"),
        (REQUEST, "other"),
        # The same bytes in sequence, split at another position.
        (replace(REQUEST, target=b"/draft/a?x=1t", body=b"ext"), "org"),
        (replace(REQUEST, target=b"g/draft/a?x=1"), "or"),
    ],
)
def test_path_query_body_and_organisation_change_the_fingerprint(
    other: InboundRequest, organisation: str
) -> None:
    assert fingerprint_of(other, organisation) != fingerprint_of(REQUEST, "org")


def test_the_fingerprint_has_a_fixed_length() -> None:
    long = replace(REQUEST, body=b"x" * 1_000_000)
    assert len(fingerprint_of(long, "org")) == FINGERPRINT_BYTES
