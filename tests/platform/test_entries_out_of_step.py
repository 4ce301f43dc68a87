"""Streams that callers take up at an entry that is cut off, or has stood still."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import Any

import eventlet
import pytest

from tests.direct.standins import header_of, status_of
from tests.direct.versioned_engines import STREAM_EVENTS, versions_in

from .test_take_ups import APPLY_DEADLINE_S, Site

STOPS_S = [2.0 * APPLY_DEADLINE_S, 3.5 * APPLY_DEADLINE_S]

WATCH_S = 1.2 * APPLY_DEADLINE_S
"""Time after which an open watch was answered without changes, in seconds."""


def start_in_step(site: Site) -> Any:  # noqa: ANN401
    """Start an entry while one version is listed; return the version's endpoint."""
    engine = site.list_endpoint("e-1", "v1")
    site.start_entry(bootstrap=False)
    assert status_of(site.take_up("r-in-step")) == 200
    engine.standin.requests.clear()
    site.store.calls.clear()
    while not any("servers" in call and "wait_ms=0" not in call for call in waits(site)):
        eventlet.sleep(0.01)
    return engine


def waits(site: Site) -> list[str]:
    """Return the watches that were opened since the calls were cleared."""
    return [call for call in site.store.calls if "kv-watch" in call]


def fall_silent(site: Site) -> None:
    """Answer no call any more, and end no open one."""
    site.store.stall_open_connections()
    site.store.failure_mode = "silent"


def refuse_calls(site: Site) -> None:
    site.store.failure_mode = 503
    site.store.end_watches()


@pytest.mark.parametrize("cut_off", [fall_silent, refuse_calls])
@pytest.mark.parametrize("pause_s", [0.0, 0.2, 0.8])
def test_a_stream_does_not_go_on_at_another_version_at_an_entry_that_is_cut_off(
    site: Site, cut_off: Callable[[Site], None], pause_s: float
) -> None:
    engine = start_in_step(site)
    cut_off(site)
    site.list_endpoint("e-2", "v2")
    eventlet.sleep(pause_s)
    response = site.take_up()
    assert status_of(response) == 503
    assert float(header_of(response, b"retry-after") or 0) > 0
    assert not engine.standin.requests
    # Streams that begin here are not concerned.
    assert versions_in(site.send()) == ["v1"] * STREAM_EVENTS


@pytest.mark.parametrize("stop_s", STOPS_S)
def test_a_stream_does_not_go_on_at_another_version_at_an_entry_that_stood_still(
    site: Site, stop_s: float
) -> None:
    engine = start_in_step(site)
    (process,) = site.processes
    process.send_signal(signal.SIGSTOP)
    # The open watch is answered without changes, and the response waits in the socket.
    eventlet.sleep(WATCH_S)
    fall_silent(site)
    site.list_endpoint("e-2", "v2")
    eventlet.sleep(stop_s - WATCH_S)
    process.send_signal(signal.SIGCONT)
    eventlet.sleep(0.1)
    for number in range(4):
        assert status_of(site.take_up(f"r-{number}")) == 503
    assert not engine.standin.requests


def test_streams_that_wait_for_a_stopped_entry_do_not_go_on_at_another_version(
    site: Site,
) -> None:
    engine = start_in_step(site)
    (process,) = site.processes
    process.send_signal(signal.SIGSTOP)
    eventlet.sleep(WATCH_S)
    site.list_endpoint("e-2", "v2")
    waiting = [eventlet.spawn(site.take_up, f"r-{number}") for number in range(4)]
    eventlet.sleep(APPLY_DEADLINE_S)
    process.send_signal(signal.SIGCONT)
    for caller in waiting:
        assert status_of(caller.wait()) == 503
    assert not engine.standin.requests


@pytest.mark.parametrize("outage_s", [0.2, 3 * APPLY_DEADLINE_S])
def test_streams_go_on_once_an_entry_is_back_in_step_and_one_version_served(
    site: Site, outage_s: float
) -> None:
    start_in_step(site)
    refuse_calls(site)
    eventlet.sleep(outage_s)
    refusal = site.take_up("r-1")
    assert status_of(refusal) == 503
    site.store.failure_mode = ""
    eventlet.sleep(float(header_of(refusal, b"retry-after") or 0))
    response = site.take_up("r-1")
    assert versions_in(response) == ["v1"] * (STREAM_EVENTS - 1)


def test_streams_go_on_after_an_entry_stood_still_if_one_version_served(
    site: Site,
) -> None:
    start_in_step(site)
    (process,) = site.processes
    process.send_signal(signal.SIGSTOP)
    eventlet.sleep(3 * APPLY_DEADLINE_S)
    process.send_signal(signal.SIGCONT)
    eventlet.sleep(APPLY_DEADLINE_S)
    assert versions_in(site.take_up("r-1")) == ["v1"] * (STREAM_EVENTS - 1)
