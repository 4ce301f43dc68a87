"""Checks the invariants that must hold during faults, on what callers and endpoints saw."""

from __future__ import annotations

import math
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import pairwise

from .clients import Outcome
from .notice_invariants import NoticeChecker
from .workers import EndpointLog, Run, plain_body, stream_event, stream_length

NOT_RUN_STATUSES = {408, 421, 429, 503}
"""Statuses that guarantee that the request was not run."""

DENIED_STATUSES = (401, 403, 404)
"""Statuses for a route or a key that an older configuration lacks."""

UNKNOWN_STATUSES = (404, 413)
"""Statuses for a route, or the size of a body, that an older configuration lacks."""

OWN_FAILURES = (502, 504)
"""Statuses with which only entries end requests that may have run."""

AT_MOST_ONCE_KINDS = ("once", "draft", "report", "grade", "outline", "chat")
"""Kinds of routes whose requests must not run more than once."""

STORE = "store"
"""Target of a fault that keeps all entries from the store."""

DRAIN_S = 2.0
"""Time after which an endpoint listed as draining receives no more requests, in seconds."""

CONFIG_APPLY_S = 2.0
"""Time after which every entry has applied a configuration, in seconds."""

TIMEOUT_S = 3.0
"""The routes' timeout, in seconds: entries end a response that takes longer."""

LOSS_SLACK_S = 0.2
"""Time after its last byte in which a request may cross the close of its connection, in
seconds, if no endpoint receives it."""

LATE_SEND_S = 3.0
GRACE_FRACTION = 1 / 6
"""A stop may cut a request that was sent up to this many seconds after its signal, while an
endpoint works on it in this last fraction of the grace time."""

MAX_WORK_S = 0.7
"""Longest time that an endpoint takes for a response besides its silence, in seconds."""

EVACUATION_S = 2.0
"""Time after which an evacuated data hall receives no more requests, in seconds."""

COLD_RATE = 12.0
COLD_OVER = 1.5
COLD_SLACK = 2.0
MAX_COLD = COLD_RATE * COLD_OVER + COLD_SLACK
"""Requests that a cold endpoint may receive in one second, from all entries together."""

CONVERGENCE_S = 3.0
"""Time without a fault after which invariants with a time limit apply, in seconds."""

MIN_SERVED_FRACTION = 0.95
"""Fraction of the requests that must be served once all faults have ended."""

SEND_AFTER_ABANDON_S = 0.5
"""Time after a caller has left in which an entry may still send its request, in seconds."""

WORK_AFTER_ABANDON_S = 1.0
"""Time after a caller has left in which an endpoint may still work on its request, in
seconds: a slow endpoint notices at its next event."""

CRASHES_TO_DETECT = 3
"""Engines that a request may crash before further sends of it count as late."""

MAX_LATE_CRASHING_SENDS = 3
"""Allowed sends of such a request later than `CONVERGENCE_S` after that, however long it
keeps arriving."""

MIN_TAKE_UPS = 12
"""Take-ups of broken streams from which the fraction that goes on means something."""

MIN_ENDPOINTS = 2
"""Endpoints of a software version that must serve for its streams to go on."""

_VERSION_COMMENT = re.compile(rb"^:.*\n?", re.MULTILINE)

MAX_SHOWN = 5
"""Cases that a violation lists as examples."""


MIN_FRACTION_OF_MEAN = 0.25
"""Smallest fraction of its requests that an organisation is served, relative to all."""

MIN_COMPETING_REQUESTS = 40
"""Requests of an organisation from which that fraction means something."""


@dataclass(slots=True)
class Span:
    """A span of monotonic time in which a fault, stop, evacuation or cold phase lasted.

    Attributes:
        target: Name of the entry, endpoint or data hall concerned; `STORE` for the store,
            empty for all entries.
        is_engine_fault: Whether only engines failed, while the entries themselves worked.
    """

    target: str
    start: float
    end: float
    is_engine_fault: bool = False


@dataclass(slots=True)
class Observations:
    """Everything that was observed during the soak.

    Attributes:
        outcomes: Requests of callers and their results.
        endpoint_log: Requests that reached endpoints, and their runs.
        route_changes: The time of each configuration and the service to which it routes
            requests of kind ``once``, oldest first.
        draining_since: When each worker was listed as draining in the store.
        gone_since: When each worker that left without saying so was deleted in the store.
        evacuations: Evacuations, by data hall.
        cold_spans: Spans in which workers were cold, by worker.
        halls: The data hall of each worker.
        store_faults: Faults of the store, or of the connections of one entry to it.
        planned_stops: Planned stops, by entry.
        disruptions: Other faults that may cut responses, by entry; an empty name stands
            for all entries.
        token_limit: Tokens that the limited organisation may use in a window.
        window_s: Length of that window, in seconds.
        unexpected_exits: Exits of entries that were neither stopped nor killed.
        internal_errors: Internal errors that entries logged.
        stalled_s: For how long the soak's own process stalled, in seconds.
        recovered_from: Time at which all entries must have recovered from the last fault.
        version_changes: Numbers of ready endpoints of the service with resumable streams,
            by software version, each with the time from which they hold.
        rids: The ids of all requests that callers made.
        worker_versions: The software version of each endpoint, where they have one.
        power_cuts: Times at which all entries were killed at once.
        injected: The time and the name of each fault.
        denies_only_current: Whether no fault excuses that an entry denies a request for a
            route or a key that must be in force.
    """

    outcomes: list[Outcome]
    endpoint_log: EndpointLog
    token_limit: float
    window_s: float
    route_changes: list[tuple[float, str]] = field(default_factory=list)
    draining_since: dict[str, float] = field(default_factory=dict)
    gone_since: dict[str, float] = field(default_factory=dict)
    evacuations: list[Span] = field(default_factory=list)
    cold_spans: list[Span] = field(default_factory=list)
    halls: dict[str, str] = field(default_factory=dict)
    store_faults: list[Span] = field(default_factory=list)
    planned_stops: list[Span] = field(default_factory=list)
    disruptions: list[Span] = field(default_factory=list)
    unexpected_exits: list[str] = field(default_factory=list)
    internal_errors: list[str] = field(default_factory=list)
    stalled_s: float = 0.0
    recovered_from: float = 0.0
    version_changes: list[tuple[float, dict[str, int]]] = field(default_factory=list)
    rids: set[str] = field(default_factory=set)
    worker_versions: dict[str, str] = field(default_factory=dict)
    power_cuts: list[float] = field(default_factory=list)
    injected: list[tuple[float, str]] = field(default_factory=list)
    denies_only_current: bool = False

    def version_counts(self) -> Iterator[tuple[float, float, dict[str, int]]]:
        """Return spans of time, each with the number of endpoints by software version."""
        changes = [*self.version_changes, (math.inf, {})]
        for (start, counts), (end, _) in pairwise(changes):
            yield start, end, counts


def violations(observed: Observations) -> list[str]:
    """Return a line for each violated invariant, with the first requests that show it."""
    by_rid: dict[str, list[Run]] = {}
    for run in observed.endpoint_log.runs:
        by_rid.setdefault(run.rid, []).append(run)
    checker = _notice_checker(observed)
    found = {
        "a response is not the complete one of its own request": _wrong_responses(observed),
        "a stream holds events of several software versions": mixed_streams(observed),
        "too few streams were taken up": _rarely_taken_up(observed),
        "an endpoint ran a request that no caller made": [
            f"{rid} at {run.worker}"
            for rid, runs in by_rid.items()
            if rid not in observed.rids
            for run in runs
        ],
        "ran more than once": _repeated_runs(observed, by_rid),
        "refused as not run, but ran": _false_refusals(observed, by_rid),
        "an endpoint received work long after it started draining": _late_work(
            observed, observed.draining_since, observed.store_faults
        ),
        "an endpoint received work long after it was gone": _late_work(
            observed,
            observed.gone_since,
            observed.store_faults + observed.disruptions + observed.planned_stops,
        ),
        "an evacuated hall received work long after its evacuation": _work_in_evacuated(
            observed
        ),
        "a cold endpoint received too many requests": _overloaded_cold(observed),
        "ran at a service that no applied configuration names": _misrouted(
            observed, by_rid
        ),
        "refused by an older configuration": _unknown_routes(observed),
        "denied by a configuration that may be older": _denied_by_older(observed),
        "sent whole, but got neither a complete response nor a refusal": _unanswered(
            observed, by_rid
        ),
        "failed although its silent endpoint would have answered": _needless_failures(
            observed, by_rid
        ),
        "cut off by a planned stop": _cut_by_stop(observed, by_rid),
        "sent to an endpoint after its caller had left": _sent_after_abandon(
            observed, by_rid
        ),
        "worked on long after its caller had left": _worked_after_abandon(observed, by_rid),
        "an organisation used more than its token limit": _over_limit(observed),
        "not served although all faults had ended": not_recovered(observed),
        "an organisation was served far less than all": _starved(observed),
        "a request that crashes its engines was still sent": _resent_crashing_requests(
            observed, by_rid
        ),
        "an endpoint received more than its advertised limit": checker.over_limit(
            CONVERGENCE_S
        ),
        "an endpoint received work although it announced leaving": checker.after_leaving(),
        "an endpoint received work from an entry asked to back off": checker.in_backoff(),
        "an entry exited unexpectedly": observed.unexpected_exits,
        "an entry logged an internal error": observed.internal_errors,
    }
    return describe_cases(found)


def describe_cases(found: dict[str, list[str]]) -> list[str]:
    """Return a line for each violated invariant, with its first cases.

    Args:
        found: The cases of each invariant.
    """
    return [
        f"{invariant}: {len(cases)} ({'; '.join(cases[:MAX_SHOWN])})"
        for invariant, cases in found.items()
        if cases
    ]


def _notice_checker(observed: Observations) -> NoticeChecker:
    def is_disrupted(entry: str, since: float, until: float) -> bool:
        spans = [
            span
            for span in observed.disruptions + observed.planned_stops
            if span.target in ("", entry)
        ]
        of_entries = [span for span in spans if not span.is_engine_fault]
        return overlaps_any(of_entries, since, until)

    return NoticeChecker(
        observed.endpoint_log.notices,
        observed.endpoint_log.arrivals,
        entry_of={row.rid: row.entry for row in observed.outcomes},
        is_disrupted=is_disrupted,
        sent_at={row.rid: row.sent_at for row in observed.outcomes},
    )


def _wrong_responses(observed: Observations) -> list[str]:
    """Return successful responses whose content is not the expected one."""
    return [
        _describe(row)
        for row in observed.outcomes
        if row.status == 200 and not _matches_request(row)
    ]


def _matches_request(row: Outcome) -> bool:
    """Return whether the content of a response is the one expected for its request.

    A stream that was cut must be a prefix of the expected one.
    """
    if row.kind in ("once", "safe", "new"):
        return not row.is_whole or row.response_body == plain_body(row.rid)
    numbers = range(row.after + 1, stream_length(row.rid) + 1)
    whole = b"".join(stream_event(row.rid, number) for number in numbers)
    body = _VERSION_COMMENT.sub(b"", row.response_body)
    return body == whole if row.is_whole else whole.startswith(body)


def mixed_streams(observed: Observations) -> list[str]:
    """Return streams whose events, over all their attempts, are of several versions."""
    versions: dict[str, set[bytes]] = {}
    for row in observed.outcomes:
        found = _VERSION_COMMENT.findall(row.response_body)
        versions.setdefault(row.stream_rid or row.rid, set()).update(found)
    return [
        f"{rid}: {sorted(name.decode().strip() for name in names)}"
        for rid, names in versions.items()
        if len(names) > 1
    ]


def _rarely_taken_up(observed: Observations) -> list[str]:
    """Return streams that did not go on where new ones begin, if there are too many.

    Only requests of undisrupted entries count, while two endpoints of the version serve.
    """
    rows = [
        row
        for row in observed.outcomes
        if row.kind == "brief"
        and not row.is_abandoned_early
        and _is_undisrupted(observed, row)
    ]
    new = [row for row in rows if not row.after]
    taken_up = [row for row in rows if row.after and _has_two_endpoints(observed, row)]
    if len(taken_up) < MIN_TAKE_UPS or not new:
        return []
    begun = sum(row.status == 200 for row in new) / len(new)
    stopped = [row for row in taken_up if row.status != 200]
    if 1 - len(stopped) / len(taken_up) >= begun / 2:
        return []
    return [_describe(row) for row in stopped]


def _has_two_endpoints(observed: Observations, row: Outcome) -> bool:
    """Return whether two endpoints of a continued stream's version serve throughout."""
    first = next(item for item in observed.outcomes if item.rid == row.stream_rid)
    (version, *_) = _VERSION_COMMENT.findall(first.response_body)
    name = version.decode()[2:].strip()
    counts = [
        counts.get(name, 0)
        for start, end, counts in observed.version_counts()
        if start <= row.ended_at and end >= row.sent_at
    ]
    return min(counts, default=0) >= MIN_ENDPOINTS


def _repeated_runs(observed: Observations, by_rid: dict[str, list[Run]]) -> list[str]:
    rows = [row for row in observed.outcomes if row.kind in AT_MOST_ONCE_KINDS]
    return [
        _describe_runs(row, by_rid[row.rid])
        for row in rows
        if len(by_rid.get(row.rid, [])) > 1
    ]


def _false_refusals(observed: Observations, by_rid: dict[str, list[Run]]) -> list[str]:
    rows = [
        row
        for row in observed.outcomes
        if row.kind in AT_MOST_ONCE_KINDS and row.status in NOT_RUN_STATUSES
    ]
    return [_describe_runs(row, by_rid[row.rid]) for row in rows if by_rid.get(row.rid)]


def _late_work(
    observed: Observations, left_since: dict[str, float], excuses: list[Span]
) -> list[str]:
    """Return runs at workers that had left long before.

    Args:
        observed: What was observed.
        left_since: When each worker left, by name.
        excuses: Faults and stops. One of a single entry excuses no other entry.
    """
    entry_of = {row.rid: row.entry for row in observed.outcomes}
    late = []
    for run in observed.endpoint_log.runs:
        since = left_since.get(run.worker)
        if since is None or run.started_at <= since + DRAIN_S:
            continue
        entry = entry_of.get(run.rid)
        spans = [
            span
            for span in excuses
            if span.target in (STORE, "", entry) and not span.is_engine_fault
        ]
        if not overlaps_any(spans, run.started_at - CONVERGENCE_S, run.started_at):
            late.append(
                f"{run.rid} from {entry} at {run.worker}"
                f" {run.started_at - since:.1f} s after"
            )
    return late


def _work_in_evacuated(observed: Observations) -> list[str]:
    late = []
    for span in observed.evacuations:
        for run in observed.endpoint_log.runs:
            if observed.halls.get(run.worker) != span.target:
                continue
            if not span.start + EVACUATION_S < run.started_at < span.end:
                continue
            since = run.started_at - CONVERGENCE_S
            if not overlaps_any(
                observed.store_faults + observed.disruptions, since, run.started_at
            ):
                late.append(
                    f"{run.rid} at {run.worker} {run.started_at - span.start:.1f} s after"
                )
    return late


def _overloaded_cold(observed: Observations) -> list[str]:
    """Return cold endpoints that received too many requests in a second.

    No fault excuses that.
    """
    found = []
    for span in observed.cold_spans:
        times = sorted(
            run.started_at
            for run in observed.endpoint_log.runs
            if run.worker == span.target and span.start <= run.started_at <= span.end
        )
        peak = max((sum(at <= t < at + 1.0 for t in times) for at in times), default=0)
        if peak > MAX_COLD:
            found.append(f"{span.target}: {peak} of {MAX_COLD:.0f}")
    return found


def _misrouted(observed: Observations, by_rid: dict[str, list[Run]]) -> list[str]:
    wrong = []
    for row in observed.outcomes:
        for run in by_rid.get(row.rid, []):
            since = row.sent_at - CONFIG_APPLY_S
            if overlaps_any(
                observed.store_faults, row.sent_at - CONVERGENCE_S, run.started_at
            ):
                continue
            if row.kind == "once" and run.service not in _applied_services(
                observed, since, run.started_at
            ):
                wrong.append(f"{row.rid} at {run.service}")
    return wrong


def _unknown_routes(observed: Observations) -> list[str]:
    """Return requests refused for an unknown route that the entry should have known."""
    unknown = []
    for row in observed.outcomes:
        if row.kind != "new" or row.status not in UNKNOWN_STATUSES:
            continue
        spans = [span for span in observed.disruptions if span.target in ("", row.entry)]
        if not overlaps_any(
            spans + observed.store_faults, row.sent_at - CONVERGENCE_S, row.ended_at
        ):
            unknown.append(f"{_describe(row)} for {row.path}")
    return unknown


def _denied_by_older(observed: Observations) -> list[str]:
    """Return requests that an entry denied without knowing the newest configuration."""
    if not observed.denies_only_current:
        return []
    return [
        f"{_describe(row)} for {row.path}"
        for row in observed.outcomes
        if row.kind == "new" and row.status in DENIED_STATUSES
    ]


def _applied_services(observed: Observations, since: float, until: float) -> set[str]:
    """Return the services of all configurations that an entry may have applied."""
    allowed = {name for when, name in observed.route_changes if since <= when <= until}
    before = [name for when, name in observed.route_changes if when <= since]
    return allowed | set(before[-1:])


def _cut_by_stop(observed: Observations, by_rid: dict[str, list[Run]]) -> list[str]:
    """Return requests that an entry cut while its only disruption was a planned stop."""
    cut = []
    for row in observed.outcomes:
        if (
            row.is_whole
            or row.is_abandoned_early
            or row.ended_at - row.sent_at >= TIMEOUT_S
        ):
            continue
        stops = [span for span in observed.planned_stops if span.target == row.entry]
        if not any(span.start <= row.ended_at <= span.end for span in stops):
            continue
        disruptions = [
            span for span in observed.disruptions if span.target in ("", row.entry)
        ]
        if row.rid in by_rid and not overlaps_any(
            disruptions, row.sent_at - 1.0, row.ended_at
        ):
            cut.append(_describe(row))
    return cut


def _unanswered(observed: Observations, by_rid: dict[str, list[Run]]) -> list[str]:
    """Return requests that were sent whole and not answered, unless that is allowed."""
    arrived = {arrival.rid for arrival in observed.endpoint_log.arrivals} | by_rid.keys()
    return [
        f"{_describe(row)} after {row.ended_at - row.arrived_at:.2f} s"
        for row in observed.outcomes
        if row.arrived_at
        and not row.is_whole
        and not row.is_abandoned_early
        and not _may_be_unread(row, has_arrived=row.rid in arrived)
        and not (row.status and _has_timed_out(row))
        and not _is_impaired(observed, row)
        and not _is_at_work_until_exit(observed, row, by_rid.get(row.rid, []))
    ]


def _has_timed_out(row: Outcome) -> bool:
    """Return whether a request lasted for the routes' timeout.

    That of a pipelined one begins when its entry has sent the response before it, a moment
    before its caller has it.
    """
    is_pipelined = 0 < row.arrived_at < row.sent_at
    slack_s = LOSS_SLACK_S if is_pipelined else 0.0
    return row.ended_at - row.sent_at >= TIMEOUT_S - slack_s


def _may_be_unread(row: Outcome, *, has_arrived: bool) -> bool:
    """Return whether a request may have crossed the close of its connection.

    An entry that closes a connection, or exits, with a request that it has not read resets
    the connection.
    """
    if row.is_dropped and row.abandoned_at:
        return True
    is_crossing = row.ended_at <= row.arrived_at + LOSS_SLACK_S
    is_unread = row.was_reset and not row.status
    return not has_arrived and (row.is_dropped or is_crossing or is_unread)


def _is_impaired(observed: Observations, row: Outcome) -> bool:
    """Return whether an unplanned fault of its entry, or of an engine, may have cut it."""
    spans = [span for span in observed.disruptions if span.target in ("", row.entry)]
    return overlaps_any(spans, row.sent_at - CONVERGENCE_S, row.ended_at)


def _is_at_work_until_exit(observed: Observations, row: Outcome, runs: list[Run]) -> bool:
    """Return whether an endpoint worked on a request until its entry had to exit."""
    for stop in observed.planned_stops:
        last_s = (stop.end - stop.start) * GRACE_FRACTION
        if (
            stop.target == row.entry
            and row.sent_at <= stop.start + LATE_SEND_S
            and stop.end - last_s <= row.ended_at <= stop.end
            and any(run.ended_at >= stop.end - last_s for run in runs)
        ):
            return True
    return False


def _needless_failures(observed: Observations, by_rid: dict[str, list[Run]]) -> list[str]:
    """Return requests that an entry failed before a silent endpoint would have answered."""
    return [
        f"{_describe(row)} after {row.ended_at - row.sent_at:.2f} s"
        for row in observed.outcomes
        if row.status in OWN_FAILURES
        and not _has_timed_out(row)
        and any(
            run.silence_s
            and run.started_at + run.silence_s + MAX_WORK_S <= row.sent_at + TIMEOUT_S
            for run in by_rid.get(row.rid, [])
        )
        and not _is_impaired(observed, row)
    ]


def _sent_after_abandon(observed: Observations, by_rid: dict[str, list[Run]]) -> list[str]:
    return [
        f"{row.rid} at {row.entry} {run.started_at - row.abandoned_at:.1f} s after"
        for row, run in _runs_for_abandoned(observed, by_rid)
        if run.started_at > row.abandoned_at + SEND_AFTER_ABANDON_S
    ]


def _worked_after_abandon(
    observed: Observations, by_rid: dict[str, list[Run]]
) -> list[str]:
    return [
        f"{row.rid} at {row.entry} {run.ended_at - row.abandoned_at:.1f} s after"
        for row, run in _runs_for_abandoned(observed, by_rid)
        if run.ended_at > row.abandoned_at + WORK_AFTER_ABANDON_S
    ]


def _runs_for_abandoned(
    observed: Observations, by_rid: dict[str, list[Run]]
) -> Iterator[tuple[Outcome, Run]]:
    """Return runs for callers that left, unless a fault kept the entry from noticing it."""
    for row in observed.outcomes:
        if not row.abandoned_at:
            continue
        disruptions = [
            span for span in observed.disruptions if span.target in ("", row.entry)
        ]
        for run in by_rid.get(row.rid, []):
            if not overlaps_any(
                disruptions,
                row.abandoned_at - CONVERGENCE_S,
                max(run.started_at, run.ended_at),
            ):
                yield row, run


def _over_limit(observed: Observations) -> list[str]:
    """Return runs at which the limited organisation exceeded its tokens in a window."""
    runs = sorted(
        (run for run in observed.endpoint_log.runs if run.organisation == "limited"),
        key=lambda run: run.started_at,
    )
    total = first = 0
    over = []
    for run in runs:
        total += run.tokens
        while runs[first].started_at < run.started_at - observed.window_s:
            total -= runs[first].tokens
            first += 1
        if total > observed.token_limit:
            over.append(f"{total} of {observed.token_limit:.0f} at {run.rid}")
    return over


def _resent_crashing_requests(
    observed: Observations, by_rid: dict[str, list[Run]]
) -> list[str]:
    """Return crashing requests that undisrupted entries sent on after enough crashes."""
    by_body: dict[bytes, list[tuple[Outcome, Run]]] = {}
    for row in observed.outcomes:
        for run in by_rid.get(row.rid, []) if row.is_crashing else []:
            by_body.setdefault(row.request_body, []).append((row, run))
    found = []
    for body, runs in by_body.items():
        crashes = sorted({run.worker: run.ended_at for _, run in runs}.values())
        if len(crashes) <= CRASHES_TO_DETECT:
            continue
        since = crashes[CRASHES_TO_DETECT - 1] + CONVERGENCE_S
        late = [
            row
            for row, run in runs
            if run.started_at > since and _is_undisrupted(observed, row)
        ]
        if len(late) > MAX_LATE_CRASHING_SENDS:
            found.append(f"{body.decode()}: {len(late)} sends, {len(crashes)} crashes")
    return found


def _is_undisrupted(observed: Observations, row: Outcome) -> bool:
    """Return whether the entry had no fault for a while before and during a request."""
    disruptions = [
        span
        for span in observed.disruptions + observed.planned_stops
        if span.target in ("", row.entry) and not span.is_engine_fault
    ]
    return not overlaps_any(disruptions, row.sent_at - CONVERGENCE_S, row.ended_at)


def not_recovered(observed: Observations) -> list[str]:
    """Return requests that failed after the recovery time, if there are too many."""
    rows = [
        row
        for row in observed.outcomes
        if row.sent_at > observed.recovered_from
        and row.status != 429
        and not row.is_abandoned_early
        and not row.is_crashing
        and not row.is_dropped
    ]
    unserved = [row for row in rows if row.status != 200 or not row.is_whole]
    if not rows:
        return ["no request was sent"]
    if len(unserved) <= (1 - MIN_SERVED_FRACTION) * len(rows):
        return []
    return [_describe(row) for row in unserved]


def _starved(observed: Observations) -> list[str]:
    """Return competing organisations that were served far less often than all of them."""
    rows = [row for row in observed.outcomes if row.organisation and row.status != 429]
    if not rows:
        return []
    served = [row for row in rows if row.status == 200 and row.is_whole]
    least = MIN_FRACTION_OF_MEAN * len(served) / len(rows)
    found = []
    for name in sorted({row.organisation for row in rows}):
        sent = sum(row.organisation == name for row in rows)
        fraction = sum(row.organisation == name for row in served) / sent
        if sent >= MIN_COMPETING_REQUESTS and fraction < least:
            found.append(f"{name}: {fraction:.2f} of {sent}")
    return found


def overlaps_any(spans: list[Span], since: float, until: float) -> bool:
    return any(span.start <= until and span.end >= since for span in spans)


def _describe(row: Outcome) -> str:
    return f"{row.rid} at {row.entry}: {row.status} {row.error}".rstrip()


def _describe_runs(row: Outcome, runs: list[Run]) -> str:
    """Return a line on a request and its runs, in seconds after it was sent."""
    parts = [
        f"[{run.worker} {run.started_at - row.sent_at:+.3f} to"
        f" {run.ended_at - row.sent_at:+.3f}]"
        for run in runs
    ]
    ended = f"ended {row.ended_at - row.sent_at:+.3f}"
    return " ".join([_describe(row), ended, "<-", *parts])
