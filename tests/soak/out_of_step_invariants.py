"""Checks how streams were taken up at entries that were out of step, and counts it."""

from __future__ import annotations

import enum
import math
import statistics
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from .clients import Outcome
from .invariants import (
    NOT_RUN_STATUSES,
    STORE,
    Observations,
    Span,
    _is_undisrupted,
    describe_cases,
)
from .rejoined_callers import was_reset
from .rejoined_invariants import _chains, _describe, _versions, order_faults
from .worker_facts import Fact, FactKind

_VERSIONS = {False: "one version", True: "several versions"}


class State(enum.StrEnum):
    """The state of an entry when a take-up was sent to it."""

    IN_STEP = "in step"
    OUT_OF_STEP = "out of step"
    """It was cut off from others or stood still, or had been shortly before."""

    STORE_AWAY = "store away"


@dataclass(slots=True)
class Listing:
    """An endpoint that the store listed as ready.

    Attributes:
        worker: Its name.
        service: Its service.
        version: Its software version.
        since: Monotonic time from which it was listed, in seconds.
        until: Monotonic time at which it ended or began to drain, in seconds.
    """

    worker: str
    service: str
    version: str
    since: float
    until: float = math.inf


@dataclass(slots=True)
class TakeUps:
    """Take-ups of one kind.

    Attributes:
        sent: Their number.
        served: How many of them were answered with events.
        delays_s: Times from the break of a stream to its first take-up that was served, in
            seconds.
    """

    sent: int = 0
    served: int = 0
    delays_s: list[float] = field(default_factory=list)

    def __str__(self) -> str:
        """Return them in a few words."""
        text = f"{self.served} of {self.sent} served"
        if self.delays_s:
            text += f", first after {statistics.median(self.delays_s):.2f} s in the median"
        return text


def service_of(row: Outcome) -> str:
    """Return the service of a request for a resumable stream; empty if none is named."""
    return row.path.split("/")[2] if row.kind == "story" and row.path else ""


def out_of_step_violations(
    observed: Observations,
    facts: list[Fact],
    listings: list[Listing],
    faults_ended_at: float,
) -> list[str]:
    """Return a line for each violated invariant of take-ups.

    That streams join no versions, and neither lose nor repeat events, is checked for all
    soaks with long streams.

    Args:
        observed: What callers received, and the faults.
        facts: What endpoints did.
        listings: The endpoints.
        faults_ended_at: Monotonic time of the end of the last fault, in seconds.
    """
    ran = {fact.rid for fact in facts if fact.kind is FactKind.BEGUN}
    refused = [
        row for row in observed.outcomes if row.after and row.status in NOT_RUN_STATUSES
    ]
    found = {
        "a take-up was refused but ran": [
            _describe(observed, row) for row in refused if row.rid in ran
        ],
        "a take-up was refused without a time to come back": [
            _describe(observed, row) for row in refused if not row.retry_after
        ],
        "a stream was not taken up although its version served": [
            _describe(observed, row)
            for row in _not_taken_up(observed, listings, faults_ended_at)
        ],
    }
    return describe_cases(found)


def _not_taken_up(
    observed: Observations, listings: list[Listing], faults_ended_at: float
) -> Iterator[Outcome]:
    """Yield take-ups after the recovery time that had to be served and were not.

    The version of a stream is known if it began when all faults had ended. A limit of the
    organisation, and an entry that read nothing, say nothing about the stream, nor does a
    stall of this process, through which all datagrams pass.
    """
    for attempts in _chains(observed.outcomes).values():
        service = service_of(attempts[0])
        all_versions = {item.version for item in listings if item.service == service}
        is_known = attempts[0].sent_at > faults_ended_at
        for row in attempts[1:]:
            is_due = row.sent_at > observed.recovered_from and row.status != 429
            if not is_due or row.abandoned_at or was_reset(row) or row.status == 200:
                continue
            if not _is_undisrupted(observed, row):
                continue
            if _serves(observed, listings, attempts, row) and (
                is_known or len(all_versions) == 1
            ):
                yield row


def _serves(
    observed: Observations, listings: list[Listing], attempts: list[Outcome], row: Outcome
) -> bool:
    """Return whether an endpoint could go on with a stream during all of a take-up."""
    service, begun = service_of(row), _versions(observed, attempts[:1])
    return any(
        item.service == service
        and {item.version} == begun
        and item.since < row.sent_at
        and item.until > row.ended_at
        for item in listings
    )


def without_lost(observed: Observations, listings: list[Listing]) -> Observations:
    """Return what was observed but refusals of streams that no endpoint could go on with.

    An entry has to refuse these, also when all faults have ended.

    Args:
        observed: What callers received, and the faults.
        listings: The endpoints.
    """
    lost = {
        row.rid
        for attempts in _chains(observed.outcomes).values()
        for row in attempts
        if row.after
        and row.status == 503
        and not _serves(observed, listings, attempts, row)
    }
    rows = [row for row in observed.outcomes if row.rid not in lost]
    return replace(observed, outcomes=rows)


def take_ups(
    observed: Observations, listings: list[Listing], out_of_step: list[Span]
) -> dict[tuple[bool, State], TakeUps]:
    """Return the take-ups by whether the service had several versions, and by entry.

    Those of streams that no endpoint could go on with are left out.

    Args:
        observed: What callers received, and the faults.
        listings: The endpoints.
        out_of_step: When entries were cut off from others or stood still.
    """
    found = {(several, state): TakeUps() for several in (False, True) for state in State}
    for attempts in _chains(observed.outcomes).values():
        later = [
            row
            for row in attempts
            if row.after and _serves(observed, listings, attempts, row)
        ]
        for row in later:
            counted = found[_kind(row, observed, listings, out_of_step)]
            counted.sent += 1
            counted.served += row.status == 200
        served = [row for row in later if row.status == 200]
        if served:
            counted = found[_kind(later[0], observed, listings, out_of_step)]
            counted.delays_s.append(served[0].sent_at - attempts[0].ended_at)
    return found


def _kind(
    row: Outcome,
    observed: Observations,
    listings: list[Listing],
    out_of_step: list[Span],
) -> tuple[bool, State]:
    """Return whether its service had several versions, and the state of its entry."""
    versions = {
        item.version
        for item in listings
        if item.service == service_of(row) and item.since <= row.sent_at
    }
    state = State.IN_STEP
    if _covers(observed.store_faults, (row.entry, STORE), row.sent_at):
        state = State.STORE_AWAY
    if _covers(out_of_step, (row.entry,), row.sent_at):
        state = State.OUT_OF_STEP
    return len(versions) > 1, state


def _covers(spans: list[Span], targets: tuple[str, ...], at: float) -> bool:
    return any(span.target in targets and span.start <= at <= span.end for span in spans)


def out_of_step_notes(
    observed: Observations, listings: list[Listing], out_of_step: list[Span]
) -> list[str]:
    """Return how many take-ups were served, and how soon, in lines for a report."""
    faults = order_faults(observed)
    order = ", ".join(f"{name} {faults[name]}" for name in sorted(faults)) or "none"
    counted = take_ups(observed, listings, out_of_step)
    return [
        f"order faults: {order}",
        *(
            f"take-ups, {_VERSIONS[several]}, {state}: {found}"
            for (several, state), found in counted.items()
            if found.sent
        ),
    ]
