"""Which upstream requests are reported as possible causes of a crash."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest

from dockreach.direct.harm_reporter import HarmReporter

NOW = 10.0
SENT_AT = 8.0


def make_reporter(*parts: bytes) -> tuple[HarmReporter, Mock]:
    """Return a reporter, and what stands for the crash reporter."""
    crashes = Mock()
    ctx: Any = SimpleNamespace(now=lambda: NOW, crashes=crashes)
    req: Any = SimpleNamespace(path="/safe/a", shared_parts=("p",))
    suspects = (b"request", *parts)
    return HarmReporter(ctx, req, suspects, organisation="org", is_probe=True), crashes


def upstream_request(
    *, is_harmless: bool = False, first_event_at: float | None = None
) -> Any:  # noqa: ANN401
    return SimpleNamespace(
        row=SimpleNamespace(id="e-0"),
        sent_at=SENT_AT,
        first_event_at=first_event_at,
        has_proven_parts=False,
        has_run_without_harm=lambda _: is_harmless,
    )


@pytest.mark.parametrize("is_broken", [True, False])
def test_a_broken_connection_is_told_from_an_abandoned_request(is_broken: bool) -> None:
    reporter, crashes = make_reporter(b"part")
    upstream = upstream_request()
    reporter.report_unanswered(upstream, is_connection_broken=is_broken)
    record, other = crashes.record_lost, crashes.record_abandoned
    if not is_broken:
        record, other = other, record
    (unanswered,) = record.call_args.args
    assert unanswered.suspects == (b"request", b"part")
    assert (unanswered.row, unanswered.sent_at) == (upstream.row, SENT_AT)
    assert (unanswered.ended_at, unanswered.organisation) == (NOW, "org")
    assert unanswered.is_probe
    other.assert_not_called()


def test_a_stream_that_has_run_without_harm_is_not_reported() -> None:
    reporter, crashes = make_reporter()
    reporter.report_unanswered(
        upstream_request(is_harmless=True), is_connection_broken=True
    )
    assert crashes.mock_calls == []


@pytest.mark.parametrize(("first_event_at", "began_at"), [(None, SENT_AT), (9.0, 9.0)])
def test_harmless_parts_are_recorded_once_from_the_first_event_on(
    first_event_at: float | None, began_at: float
) -> None:
    reporter, crashes = make_reporter(b"part")
    upstream = upstream_request(first_event_at=first_event_at)
    for _ in range(2):
        reporter.record_harmless_parts(upstream)
    crashes.record_harmless_parts.assert_called_once_with((b"part",), began_at)
