"""A caller that leaves takes the request that it pipelined along."""

from __future__ import annotations

import time

import eventlet

from tests.direct.standins import Dialog, EndpointStandIn

from .clients import Outcome, _Connection
from .invariants import Observations, Span, violations
from .proxy import Proxy
from .workers import EndpointLog, Run

LEAVES_AFTER_S = 0.1


def exchange(first_timeout_s: float) -> tuple[Outcome, Outcome]:
    """Send two requests at once to an entry that resets their connection 0.3 s later."""

    def be_silent(dialog: Dialog) -> None:
        eventlet.sleep(0.3)
        dialog.reset()

    proxy = Proxy(EndpointStandIn(be_silent).address)
    first, behind = (
        Outcome(rid, "draft", "entry-0", time.monotonic()) for rid in ("draft-1", "draft-2")
    )
    first.timeout_s = first_timeout_s
    conn = _Connection("entry-0", proxy.address, proxy)
    assert not conn.exchange(first, "key-free", behind)
    conn.close()
    return first, behind


def cut_by_stop(row: Outcome) -> list[str]:
    """Return what is found wrong with a request that ran while its entry stopped."""
    log = EndpointLog(runs=[Run(row.rid, "i-1", "work-a", "free", 20, row.sent_at)])
    log.runs[0].ended_at = row.ended_at
    observed = Observations([row], log, 1000.0, 4.0)
    observed.rids = {row.rid}
    observed.route_changes = [(0.0, "work-a")]
    observed.planned_stops = [Span("entry-0", row.sent_at - 1.0, row.ended_at + 1.0)]
    return [line for line in violations(observed) if "cut off by a planned stop" in line]


def test_a_caller_that_leaves_has_left_the_request_behind_too() -> None:
    first, behind = exchange(LEAVES_AFTER_S)
    assert first.is_abandoned_early
    assert behind.is_abandoned_early
    assert behind.is_dropped
    assert cut_by_stop(behind) == []


def test_a_pipelined_request_that_its_entry_cuts_is_found() -> None:
    first, behind = exchange(4.0)
    assert not first.is_abandoned_early
    assert not behind.is_abandoned_early
    assert len(cut_by_stop(behind)) == 1
