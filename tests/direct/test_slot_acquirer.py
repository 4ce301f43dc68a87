"""Slots are only taken at endpoints that may run the request."""

from __future__ import annotations

from collections.abc import Iterable
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest

from dockreach.direct.context import Counters
from dockreach.direct.routing_config import RetryMode
from dockreach.direct.slot_acquirer import SlotAcquirer
from dockreach.direct.stream_versions import KnownVersion, UnknownVersion
from dockreach.direct.version_coverage import VersionSource
from dockreach.verdict import Reason, Refusal, Verdict

QUARANTINED = Refusal(Verdict.NOT_RUN, Reason.CRASHES_ENGINES)


def make_context(found: Iterable[object], *, is_quarantined: bool = False) -> Any:  # noqa: ANN401
    """Return a context whose scheduler assigns some slots, one after another."""
    quarantine = Mock(**{"is_quarantined.return_value": is_quarantined})
    quarantine.refusal.return_value = QUARANTINED
    return SimpleNamespace(
        now=lambda: 0.0,
        endpoints=object(),
        scheduler=Mock(**{"acquire_slot.side_effect": list(found)}),
        crashes=SimpleNamespace(quarantine=quarantine),
        streams=Mock(**{"serves_several.return_value": True}),
        counters=Counters(),
    )


def make_job(*fitting: str) -> Any:  # noqa: ANN401
    """Return a job that fits some endpoints."""
    return SimpleNamespace(
        service="work",
        route=SimpleNamespace(timeout_s=4.0, retry_mode=RetryMode.RESUME),
        software_version=None,
        tried_endpoints=set(),
        needs_gone_version=lambda *_: False,
        fits=lambda row: row.id in fitting,
    )


def make_request(*, last_event_id: str = "") -> Any:  # noqa: ANN401
    return SimpleNamespace(last_event_id=last_event_id, stream_rid="r-1", rid="r-2")


def endpoint(name: str) -> Any:  # noqa: ANN401
    return SimpleNamespace(id=name)


def test_the_slot_of_an_endpoint_that_no_longer_fits_is_released() -> None:
    changed, fitting = endpoint("e-0"), endpoint("e-1")
    ctx, job = make_context([changed, fitting]), make_job("e-1")
    slots = SlotAcquirer(ctx, make_request(), (b"f",), is_probe=False)
    assert slots.acquire(job) is fitting
    assert job.tried_endpoints == {"e-0"}
    ctx.scheduler.release_slot.assert_called_once_with(job)


@pytest.mark.parametrize(
    ("is_probe", "has_attempted", "is_refused"),
    [(False, False, True), (True, True, True), (True, False, False)],
)
def test_only_the_first_attempt_of_a_probe_runs_while_quarantined(
    is_probe: bool, has_attempted: bool, is_refused: bool
) -> None:
    row = endpoint("e-0")
    ctx, job = make_context([row], is_quarantined=True), make_job("e-0")
    slots = SlotAcquirer(ctx, make_request(), (b"f",), is_probe=is_probe)
    slots.has_attempted = has_attempted
    assert slots.acquire(job) is (QUARANTINED if is_refused else row)
    assert ctx.scheduler.release_slot.called is is_refused


def test_a_stream_of_an_unknown_software_version_gets_no_slot() -> None:
    ctx, job = make_context([]), make_job()
    ctx.streams.find.return_value = UnknownVersion("no entry knows it")
    request = make_request(last_event_id="3")
    refusal = SlotAcquirer(ctx, request, (b"f",), is_probe=False).acquire(job)
    assert isinstance(refusal, Refusal)
    assert (refusal.verdict, refusal.reason) == (Verdict.NOT_RUN, Reason.SOFTWARE_VERSION)
    ctx.scheduler.acquire_slot.assert_not_called()
    assert ctx.counters.take_ups == {VersionSource.NOTHING: 1}


@pytest.mark.parametrize("is_only", [True, False])
def test_what_is_concluded_of_a_take_up_is_told_from_what_is_known(is_only: bool) -> None:
    row: Any = SimpleNamespace(id="e-0", published=Mock(software_version="v1"))
    ctx, job = make_context([row]), make_job("e-0")
    ctx.streams.serves_several.side_effect = lambda *_: not is_only
    ctx.streams.find.return_value = (
        KnownVersion(None, VersionSource.HISTORY, is_concluded=True)
        if is_only
        else KnownVersion("v1", VersionSource.ENTRY)
    )
    slots = SlotAcquirer(ctx, make_request(last_event_id="3"), (b"f",), is_probe=False)
    assert slots.acquire(job) is row
    slots.record_origin(Mock(job=job, row=row, sent_at=0.0))
    assert ctx.streams.begin.call_args.kwargs["is_concluded"] is is_only
    source = VersionSource.HISTORY if is_only else VersionSource.ENTRY
    assert slots.version_source is source
    assert ctx.counters.take_ups == {source: 1}
