"""Slots are only taken at endpoints that may run the request."""

from __future__ import annotations

from collections.abc import Iterable
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest

from dockreach.direct.slot_acquirer import SlotAcquirer
from dockreach.direct.stream_versions import UnknownVersion
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
        streams=Mock(**{"is_mixed.return_value": True}),
    )


def make_job(*fitting: str) -> Any:  # noqa: ANN401
    """Return a job that fits some endpoints."""
    return SimpleNamespace(
        service="work",
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
