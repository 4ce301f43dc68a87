"""Checks what callers received against what endpoints that are processes did."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import pairwise

from .clients import Outcome
from .invariants import (
    AT_MOST_ONCE_KINDS,
    NOT_RUN_STATUSES,
    Observations,
    describe_cases,
    not_recovered,
    overlaps_any,
)
from .stream_shapes import SHAPES
from .worker_content import StreamEvent, decode_events, plain_body, stream_length
from .worker_facts import Fact, FactKind

STREAM_KINDS = ("draft", "brief", "report", "grade", "story", *SHAPES)
"""Kinds of routes whose responses are streams."""

ANSWER_SLACK_S = 1.0
"""Time after a request's deadline by which it is answered or broken off, in seconds."""

SHOWN_BYTES = 60
"""Bytes that a line shows of what is no event."""

EVENT_END = b"\n\n"

_EVENT_KINDS = (FactKind.EVENT, FactKind.LAST)


@dataclass(slots=True)
class RequestFacts:
    """What endpoints did with one request.

    Attributes:
        all: All of it, oldest first.
        begun: Endpoints that began to run it, once for each run.
        made: Endpoint and number of each event that was made for it.
        ended: Endpoints that made its last event or its whole plain body.
    """

    all: list[Fact] = field(default_factory=list)
    begun: list[str] = field(default_factory=list)
    made: set[tuple[str, int]] = field(default_factory=set)
    ended: set[str] = field(default_factory=set)

    def add(self, fact: Fact) -> None:
        """Add a fact that is newer than all others."""
        self.all.append(fact)
        if fact.kind is FactKind.BEGUN:
            self.begun.append(fact.worker)
        if fact.kind in _EVENT_KINDS:
            self.made.add((fact.worker, fact.number))
        if fact.kind in (FactKind.LAST, FactKind.BODY):
            self.ended.add(fact.worker)


def process_violations(
    observed: Observations, facts: list[Fact], *, due: Observations | None = None
) -> list[str]:
    """Return a line for each violated invariant, with the first requests that show it.

    Args:
        observed: What callers received, and the faults.
        facts: What endpoints did, oldest first.
        due: The same, with those requests only that have to be served once all faults have
            ended; all if omitted.
    """
    by_rid: dict[str, RequestFacts] = {row.rid: RequestFacts() for row in observed.outcomes}
    for fact in facts:
        by_rid.setdefault(fact.rid, RequestFacts()).add(fact)
    rows = observed.outcomes
    found = {
        "refused as not run, but ran": [
            _describe(row, by_rid) for row in rows if _is_false_refusal(row, by_rid)
        ],
        "ran more than once": [
            _describe(row, by_rid)
            for row in rows
            if row.kind in AT_MOST_ONCE_KINDS and len(by_rid[row.rid].begun) > 1
        ],
        "a stream lost, repeated or joined events": [
            f"{fault}: {_describe(row, by_rid)}"
            for row in rows
            if (fault := _event_fault(row, by_rid[row.rid]))
        ],
        "the attempts of a stream do not follow on each other": _broken_chains(
            rows, by_rid
        ),
        "looked whole, but was not": [
            f"{fault}: {_describe(row, by_rid)}"
            for row in rows
            if (fault := _end_fault(row, by_rid[row.rid]))
        ],
        "neither answered nor broken off in time": [
            f"{_describe(row, by_rid)} after {row.ended_at - row.sent_at:.2f} s"
            for row in rows
            if _is_left_waiting(observed, row)
        ],
        "an endpoint received another body": [
            _describe_fact(fact, 0.0) for fact in facts if fact.kind is FactKind.OTHER_BODY
        ],
        "not served although all faults had ended": not_recovered(due or observed),
        "an entry exited unexpectedly": observed.unexpected_exits,
        "an entry logged an internal error": observed.internal_errors,
    }
    return describe_cases(found)


def _is_false_refusal(row: Outcome, by_rid: dict[str, RequestFacts]) -> bool:
    return (
        row.kind in AT_MOST_ONCE_KINDS
        and row.status in NOT_RUN_STATUSES
        and bool(by_rid[row.rid].begun)
    )


def _is_stream(row: Outcome) -> bool:
    return row.status == 200 and row.kind in STREAM_KINDS


def _event_fault(row: Outcome, facts: RequestFacts) -> str:
    """Return what is wrong with the events of a response; empty if nothing is."""
    if not _is_stream(row):
        return ""
    events, rest = decode_events(row.response_body)
    for number, event in enumerate(events, start=row.after + 1):
        if event.number != number:
            return f"event {event.number} in place of {number}"
        if event.stream != (row.stream_rid or row.rid) or event.written != number:
            return f"event {number} has the content of {event.stream} {event.written}"
        if (event.worker, number) not in facts.made:
            return f"event {number} was not made for this request"
    if EVENT_END in rest:
        return f"{rest[:SHOWN_BYTES]!r} is no event"
    return _join_fault(row, events)


def _join_fault(row: Outcome, events: list[StreamEvent]) -> str:
    """Return that a stream that must not run twice holds events of several endpoints."""
    workers = list(dict.fromkeys(event.worker for event in events))
    if row.kind in AT_MOST_ONCE_KINDS and len(workers) > 1:
        return f"events of {' and '.join(workers)}"
    return ""


def _end_fault(row: Outcome, facts: RequestFacts) -> str:
    """Return why a response that looks whole is not; empty if it is, or does not."""
    if row.status != 200 or not row.is_whole:
        return ""
    if not facts.begun:
        return "never run"
    if not _is_stream(row):
        bodies = [plain_body(row.rid, worker) for worker in facts.ended]
        return "" if row.response_body in bodies else f"{len(row.response_body)} bytes"
    events, rest = decode_events(row.response_body)
    if rest:
        return f"{rest[:SHOWN_BYTES]!r} is no event"
    last = events[-1].number if events else row.after
    if last != stream_length(row.stream_rid or row.rid):
        return f"ends with event {last}"
    if events and events[-1].worker not in facts.ended:
        return f"{events[-1].worker} had not made its last event"
    return ""


def _broken_chains(rows: list[Outcome], by_rid: dict[str, RequestFacts]) -> list[str]:
    """Return streams whose events, over all their attempts, have a gap or repeat."""
    chains: dict[str, list[Outcome]] = {}
    for row in rows:
        if row.kind in STREAM_KINDS:
            chains.setdefault(row.stream_rid or row.rid, []).append(row)
    found = []
    for stream, attempts in chains.items():
        numbers = [0, *_numbers(attempts)]
        wrong = [pair for pair in pairwise(numbers) if pair[1] != pair[0] + 1]
        if len(attempts) > 1 and wrong:
            traces = ", ".join(_describe(row, by_rid) for row in attempts)
            found.append(f"{stream}: {wrong[0][1]} follows {wrong[0][0]}: {traces}")
    return found


def _numbers(attempts: list[Outcome]) -> Iterator[int]:
    """Yield the numbers of all events, in the order in which the caller got them."""
    for row in sorted(attempts, key=lambda row: row.sent_at):
        if row.status == 200:
            yield from (event.number for event in decode_events(row.response_body)[0])


def _is_left_waiting(observed: Observations, row: Outcome) -> bool:
    """Return whether a request that was sent whole waited for too long.

    Only an entry that was impaired meanwhile excuses that: an exit breaks connections off.
    """
    waited_s = row.ended_at - row.sent_at
    if not row.arrived_at or waited_s <= row.deadline_s + ANSWER_SLACK_S:
        return False
    spans = [span for span in observed.disruptions if span.target in ("", row.entry)]
    return not overlaps_any(spans, row.sent_at, row.ended_at)


def _describe(row: Outcome, by_rid: dict[str, RequestFacts]) -> str:
    """Return a request, its result, and what endpoints did with it."""
    trace = " ".join(_describe_facts(by_rid[row.rid].all, row.sent_at))
    end = "whole" if row.is_whole else f"not whole {row.error}".rstrip()
    ended_s = row.ended_at - row.sent_at
    after = f" after {row.after} of {row.stream_rid}" if row.after else ""
    where = f"HTTP/{row.http} at {row.entry}"
    return f"{row.rid}{after} {where}: {row.status} {end} +{ended_s:.3f} <- {trace}"


def _describe_facts(facts: list[Fact], since: float) -> Iterator[str]:
    """Yield facts; of a series of events, only the first and the last."""
    for index, fact in enumerate(facts):
        around = facts[max(index - 1, 0) : index + 2]
        if len(around) < 3 or {other.kind for other in around} != {FactKind.EVENT}:
            yield _describe_fact(fact, since)


def _describe_fact(fact: Fact, since: float) -> str:
    what = f"{fact.worker} {fact.kind} {fact.number} {fact.detail}"
    return f"[+{fact.at - since:.3f} {what}]"
