"""Entry processes that stood still while endpoints of another version joined.

Failure: streams went on at another software version than the one that had begun them.

How it comes about: the entry was stopped in a long poll, which the store answered without
changes, and then the version joined. The response waited in the socket. The entry read it
as soon as it went on, took the list of endpoints for confirmed at that moment, and
concluded that one version had served all along.
"""

from __future__ import annotations

import json
import os
import signal
from typing import Any

import eventlet
import pytest

from tests.direct.standins import header_of, status_of
from tests.direct.versioned_engines import STREAM_EVENTS, versions_in

from .test_take_ups import APPLY_DEADLINE_S, Site

ANSWERED_S = 0.8 * APPLY_DEADLINE_S
"""Time after which any watch was answered that was pending when the entry was stopped."""

MAX_WAIT_S = 5.0


def wait_for_long_poll(site: Site) -> None:
    """Wait until the entry has just begun to wait for changes of the endpoints."""
    calls = len(site.store.calls)
    with eventlet.Timeout(MAX_WAIT_S):
        while not any(map(_is_long_poll, site.store.calls[calls:])):
            eventlet.sleep(0.005)


def _is_long_poll(call: str) -> bool:
    return "kv-watch" in call and "servers" in call and not call.endswith("wait_ms=0")


@pytest.mark.parametrize("stopped_s", [2.0, 3.5])
def test_a_stream_is_not_taken_up_by_what_was_answered_before_the_entry_went_on(
    site: Site, stopped_s: float
) -> None:
    site.list_endpoint("e-1", "v1")
    site.start_entry(bootstrap=True)
    assert versions_in(site.send()) == ["v1"] * STREAM_EVENTS
    wait_for_long_poll(site)
    pid = site.processes[0].pid
    os.kill(pid, signal.SIGSTOP)
    eventlet.sleep(ANSWERED_S)
    site.list_endpoint("e-2", "v2")
    site.store.failure_mode = "silent"
    eventlet.sleep(stopped_s - ANSWERED_S)
    os.kill(pid, signal.SIGCONT)
    eventlet.sleep(0.1)
    response = site.take_up()
    assert status_of(response) == 503, versions_in(response)
    assert float(header_of(response, b"retry-after") or 0) > 0


def log_lines(site: Site) -> list[dict[str, Any]]:
    """End the entry; return the log lines that it wrote."""
    (process,) = site.processes
    process.terminate()
    return [json.loads(line) for line in process.stdout.readlines()]


def test_an_entry_that_stood_still_says_for_how_long_and_when_it_is_in_step_again(
    site: Site,
) -> None:
    site.list_endpoint("e-1", "v1")
    site.start_entry(bootstrap=True)
    wait_for_long_poll(site)
    pid = site.processes[0].pid
    os.kill(pid, signal.SIGSTOP)
    eventlet.sleep(3.0)
    os.kill(pid, signal.SIGCONT)
    eventlet.sleep(2 * APPLY_DEADLINE_S)
    lines = {line["event"]: line for line in log_lines(site)}
    assert lines[106]["still_ms"] >= 2800
    assert lines[308]["unconfirmed_ms"] >= 2 * APPLY_DEADLINE_S * 1000
    assert lines[309]["unconfirmed_ms"] >= lines[308]["unconfirmed_ms"]
