"""Connections to endpoints that fall silent for good, while new ones work."""

from __future__ import annotations

import time

import eventlet

from dockreach.direct.endpoints import SUSPECT_FIRST_S
from dockreach.direct.entry import Entry
from dockreach.direct.forward import PLAIN_SILENCE
from dockreach.direct.pool import RESTED_S

from .standins import Caller, Dialog, EndpointStandIn, fill_pool, start_entry, status_of

OBJECTIVE_S = 0.4
"""The routes' objective, in seconds."""


def ok(dialog: Dialog) -> None:
    dialog.answer(b"fine")


def slow(dialog: Dialog) -> None:
    eventlet.sleep(0.1)
    dialog.answer(b"fine")


def ask(entry: Entry, path: str, rid: str) -> tuple[int, float]:
    """Send one request; return its status and how long it took, in seconds."""
    caller = Caller(entry)
    began = time.monotonic()
    caller.send(path, rid=rid)
    status = status_of(caller.read_answer())
    caller.close()
    return status, time.monotonic() - began


def test_what_must_not_be_repeated_is_not_sent_on_a_connection_that_rested() -> None:
    endpoint = EndpointStandIn(ok)
    entry = start_entry(endpoint)
    fill_pool(entry, endpoint)
    endpoint.mute()
    eventlet.sleep(RESTED_S + 0.05)
    status, took_s = ask(entry, "/once/a", "r-1")
    assert status == 200
    assert took_s < OBJECTIVE_S


def test_the_last_attempt_is_not_sent_on_a_connection_that_rested() -> None:
    endpoints = [EndpointStandIn(ok) for _ in range(3)]
    entry = start_entry(*endpoints)
    for endpoint in endpoints:
        fill_pool(entry, endpoint)
    for endpoint in endpoints:
        endpoint.mute()
    eventlet.sleep(RESTED_S + 0.05)
    status, took_s = ask(entry, "/safe/a", "r-1")
    assert status == 200
    assert took_s < 3 * OBJECTIVE_S


def test_after_one_silent_connection_no_other_idle_one_is_used() -> None:
    endpoints = [EndpointStandIn(slow) for _ in range(3)]
    entry = start_entry(*endpoints)
    for endpoint in endpoints:
        fill_pool(entry, endpoint, 3)
    for endpoint in endpoints:
        endpoint.mute()
    ask(entry, "/safe/a", "r-1")
    eventlet.sleep(SUSPECT_FIRST_S + 0.1)
    # So many at once that each endpoint is given some.
    asking = [eventlet.spawn(ask, entry, "/safe/a", f"r-2-{n}") for n in range(9)]
    answers = [greenlet.wait() for greenlet in asking]
    assert {status for status, _ in answers} == {200}
    assert max(took_s for _, took_s in answers) < PLAIN_SILENCE * OBJECTIVE_S


def test_a_connection_that_was_used_a_moment_ago_is_kept_in_use() -> None:
    endpoint = EndpointStandIn(ok)
    entry = start_entry(endpoint)
    for number in range(5):
        assert ask(entry, "/once/a", f"r-{number}")[0] == 200
    assert entry.ctx.pool.opened == 1
