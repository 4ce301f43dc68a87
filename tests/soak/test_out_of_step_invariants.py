"""Each check of take-ups at entries that are out of step detects its violation."""

from __future__ import annotations

import math

import pytest

from .clients import Outcome
from .invariants import STORE, Observations, Span
from .out_of_step_invariants import (
    Listing,
    State,
    out_of_step_notes,
    out_of_step_violations,
    take_ups,
    without_lost,
)
from .rejoined_invariants import rejoined_violations
from .worker_content import encode_event
from .worker_facts import Fact, FactKind
from .workers import EndpointLog

FAULTS_ENDED_AT = 70.0
RECOVERED_AT = 80.0
STREAM = "story-1"
PATH = "/story/tale-1/"
OLD = Listing("i-1", "tale-1", "v1", 0.0)
NEW = Listing("i-2", "tale-1", "v2", 5.0)
OTHER_SERVICE = Listing("i-3", "tale-2", "v3", 1.0)


def events_of(first: int, last: int, worker: str) -> bytes:
    numbers = range(first, last + 1)
    return b"".join(encode_event(STREAM, number, worker) for number in numbers)


def make_row(rid: str, sent_at: float, body: bytes = b"", **more: object) -> Outcome:
    row = Outcome(rid, "story", "entry-0", sent_at=sent_at, status=200, path=PATH)
    row.response_body, row.ended_at = body, sent_at + 0.5
    for name, value in more.items():
        setattr(row, name, value)
    return row


def take_up(sent_at: float, body: bytes = b"", **more: object) -> Outcome:
    row = make_row(f"story-{sent_at}", sent_at, body, **more)
    row.after, row.stream_rid = 2, STREAM
    return row


def refusal(sent_at: float, **more: object) -> Outcome:
    values = {"status": 503, "retry_after": "0.5", **more}
    return take_up(sent_at, b"", **values)


def observe(*rows: Outcome) -> Observations:
    observed = Observations(list(rows), EndpointLog(), 1.0, 1.0)
    observed.worker_versions = {"i-1": "v1", "i-2": "v2"}
    observed.recovered_from = RECOVERED_AT
    return observed


def check(
    *rows: Outcome, listings: tuple[Listing, ...] = (OLD,), facts: tuple[Fact, ...] = ()
) -> list[str]:
    return out_of_step_violations(
        observe(*rows), list(facts), list(listings), FAULTS_ENDED_AT
    )


def begun(sent_at: float, worker: str = "i-1") -> Outcome:
    return make_row(STREAM, sent_at, events_of(1, 2, worker))


def test_a_stream_that_goes_on_at_the_old_version_is_detected() -> None:
    observed = observe(begun(10.0, "i-2"), take_up(11.0, events_of(3, 4, "i-1")))
    (found,) = rejoined_violations(observed, [])
    assert "a stream joined software versions: 1" in found
    assert "order faults: story joined versions 1" in out_of_step_notes(observed, [], [])


def test_a_take_up_that_goes_on_at_its_version_breaks_nothing() -> None:
    rows = (begun(10.0, "i-2"), take_up(11.0, events_of(3, 4, "i-2")))
    assert check(*rows, listings=(OLD, NEW)) == []


def test_a_refused_take_up_that_ran_is_detected() -> None:
    row = refusal(11.0)
    ran = Fact(11.1, "i-1", FactKind.BEGUN, row.rid)
    (found,) = check(begun(10.0), row, facts=(ran,))
    assert "a take-up was refused but ran: 1" in found
    turned_away = Fact(11.1, "i-1", FactKind.REFUSED, row.rid)
    assert check(begun(10.0), row, facts=(turned_away,)) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refused_take_up_without_a_time_to_come_back_is_detected(status: int) -> None:
    (found,) = check(begun(10.0), refusal(11.0, status=status, retry_after=""))
    assert "without a time to come back: 1" in found
    assert check(begun(10.0), refusal(11.0, status=status)) == []


def test_a_refusal_of_a_stream_with_one_version_after_the_recovery_is_detected() -> None:
    late = refusal(RECOVERED_AT + 1.0)
    for status in (503, 502, 504, 0):
        late.status = status
        (found,) = check(begun(10.0), late, listings=(OLD, OTHER_SERVICE))
        assert "not taken up although its version served: 1" in found
    assert check(begun(10.0), refusal(RECOVERED_AT - 1.0)) == []


def test_a_refusal_of_a_stream_whose_version_is_known_is_detected() -> None:
    late = refusal(RECOVERED_AT + 1.0)
    assert check(begun(FAULTS_ENDED_AT + 1.0), late, listings=(OLD, NEW))
    # Whoever knew the version may have been killed.
    assert check(begun(FAULTS_ENDED_AT - 1.0), late, listings=(OLD, NEW)) == []


@pytest.mark.parametrize("until", [RECOVERED_AT, RECOVERED_AT + 1.2])
def test_a_stream_may_be_refused_where_no_endpoint_of_its_version_is_left(
    until: float,
) -> None:
    gone = Listing("i-1", "tale-1", "v1", 0.0, until)
    late = refusal(RECOVERED_AT + 1.0)
    assert check(begun(FAULTS_ENDED_AT + 1.0), late, listings=(gone, NEW)) == []


def test_only_refusals_of_streams_without_an_endpoint_are_left_out() -> None:
    gone = Listing("i-1", "tale-1", "v1", 0.0, RECOVERED_AT)
    first, late = begun(10.0), refusal(RECOVERED_AT + 1.0)
    new = make_row("story-2", RECOVERED_AT + 1.0, status=503)
    observed = observe(first, late, new)
    assert without_lost(observed, [gone, NEW]).outcomes == [first, new]
    assert without_lost(observed, [OLD, NEW]).outcomes == [first, late, new]
    late.status = 200
    assert without_lost(observed, [gone, NEW]).outcomes == [first, late, new]


def test_a_limit_and_a_caller_that_left_say_nothing_about_a_stream() -> None:
    first = begun(10.0)
    assert check(first, refusal(RECOVERED_AT + 1.0, status=429)) == []
    left = refusal(RECOVERED_AT + 1.0, status=0, abandoned_at=RECOVERED_AT + 1.2)
    assert check(first, left) == []
    unread = refusal(RECOVERED_AT + 1.0, status=0)
    unread.error = "ConnectionResetError(104, 'ECONNRESET')"
    assert check(first, unread) == []


def test_only_a_stall_shortly_before_excuses_a_refusal() -> None:
    late = refusal(RECOVERED_AT + 1.0)
    observed = observe(begun(10.0), late)
    for start, is_excused in ((RECOVERED_AT, True), (RECOVERED_AT - 5.0, False)):
        observed.disruptions = [Span("", start, start + 0.5)]
        found = out_of_step_violations(observed, [], [OLD], FAULTS_ENDED_AT)
        assert (found == []) == is_excused


def test_take_ups_are_counted_by_versions_and_by_the_state_of_the_entry() -> None:
    observed = observe(
        begun(1.0),
        refusal(2.0),
        take_up(3.0, events_of(3, 3, "i-1")),
        refusal(6.0),
        refusal(12.0),
        refusal(22.0),
    )
    observed.store_faults = [Span("entry-0", 20.0, 23.0), Span(STORE, 30.0, 31.0)]
    out_of_step = [Span("entry-0", 11.0, 13.0), Span("entry-1", 5.0, 7.0)]
    found = take_ups(observed, [OLD, NEW, OTHER_SERVICE], out_of_step)
    sent = {kind: (counted.served, counted.sent) for kind, counted in found.items()}
    assert sent == {
        (False, State.IN_STEP): (1, 2),
        (False, State.OUT_OF_STEP): (0, 0),
        (False, State.STORE_AWAY): (0, 0),
        (True, State.IN_STEP): (0, 1),
        (True, State.OUT_OF_STEP): (0, 1),
        (True, State.STORE_AWAY): (0, 1),
    }
    assert found[False, State.IN_STEP].delays_s == [3.0 - 1.5]
    notes = out_of_step_notes(observed, [OLD, NEW, OTHER_SERVICE], out_of_step)
    assert notes[1] == (
        "take-ups, one version, in step: 1 of 2 served, first after 1.50 s in the median"
    )


def test_take_ups_that_no_endpoint_could_serve_are_not_counted() -> None:
    gone = Listing("i-1", "tale-1", "v1", 0.0, 9.0)
    assert math.isinf(NEW.until)
    found = take_ups(observe(begun(1.0), refusal(10.0)), [gone, NEW], [])
    assert all(counted.sent == 0 for counted in found.values())
