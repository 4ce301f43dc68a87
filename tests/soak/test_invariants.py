"""Each check of an invariant detects its violation, and excuses what it must."""

from __future__ import annotations

from dataclasses import replace

import pytest

from .clients import Outcome
from .invariants import Observations, Span, violations
from .workers import (
    NO_LIMIT,
    Arrival,
    EndpointLog,
    Run,
    SentNotice,
    plain_body,
    stream_event,
    stream_length,
)


def make_outcome(
    rid: str, *, status: int = 200, is_whole: bool = True, **more: object
) -> Outcome:
    kind = rid.partition("-")[0]
    row = Outcome(rid, kind, "entry-0", sent_at=10.0, status=status, is_whole=is_whole)
    row.ended_at = 10.5
    if status == 200:
        row.response_body = whole_body(rid)
    for name, value in more.items():
        setattr(row, name, value)
    return row


def whole_body(rid: str) -> bytes:
    if rid.startswith(("once", "safe")):
        return plain_body(rid)
    return b"".join(stream_event(rid, number + 1) for number in range(stream_length(rid)))


def make_run(
    rid: str, *, worker: str = "i-1", service: str = "a", started_at: float = 10.1
) -> Run:
    return Run(rid, worker, service, "limited", 100, started_at)


def observe(*outcomes: Outcome, runs: tuple[Run, ...] = ()) -> Observations:
    rows = [*outcomes, make_outcome("safe-99", sent_at=90.0)]
    return Observations(
        rows,
        EndpointLog(list(runs)),
        250.0,
        4.0,
        route_changes=[(0.0, "a")],
        recovered_from=80.0,
        rids={row.rid for row in rows} | {run.rid for run in runs},
    )


def test_run_without_errors_has_no_violations() -> None:
    assert violations(observe(make_outcome("once-1"), runs=(make_run("once-1"),))) == []


def test_response_of_another_request_is_detected() -> None:
    assert (
        "complete one"
        in violations(observe(make_outcome("once-1", response_body=plain_body("once-2"))))[
            0
        ]
    )


def test_stream_with_a_missing_event_or_a_false_end_is_detected() -> None:
    events = whole_body("draft-1").split(b"\n\n")
    with_gap = b"\n\n".join(events[:1] + events[2:])
    assert violations(observe(make_outcome("draft-1", response_body=with_gap)))
    early_end = b"\n\n".join(events[:2]) + b"\n\n"
    assert violations(observe(make_outcome("draft-1", response_body=early_end)))
    assert not violations(
        observe(make_outcome("draft-1", response_body=early_end, is_whole=False))
    )


def test_second_run_is_detected() -> None:
    runs = (make_run("draft-1"), make_run("draft-1", worker="i-2"))
    found = violations(observe(make_outcome("draft-1"), runs=runs))
    assert "more than once" in found[0]
    assert "[i-1 +0.100 to" in found[0]
    assert "[i-2 +0.100 to" in found[0]
    runs = (make_run("brief-1"), make_run("brief-1", worker="i-2"))
    assert violations(observe(make_outcome("brief-1"), runs=runs)) == []


def test_run_of_a_request_that_no_caller_made_is_detected() -> None:
    observed = observe(make_outcome("once-1"), runs=(make_run("once-1"),))
    assert violations(observed) == []
    observed.rids.remove("once-1")
    assert "no caller made" in violations(observed)[0]


def test_false_refusal_of_a_request_that_ran_is_detected() -> None:
    row = make_outcome("once-1", status=503)
    assert "refused as not run" in violations(observe(row, runs=(make_run("once-1"),)))[0]
    assert violations(observe(row)) == []


def test_work_at_a_draining_endpoint_is_detected_unless_the_store_failed() -> None:
    observed = observe(runs=(make_run("once-1", started_at=13.0),))
    observed.draining_since["i-1"] = 10.0
    assert "draining" in violations(observed)[0]
    observed.store_faults.append(Span("store", 9.0, 9.5))
    assert "draining" in violations(observed)[0]
    observed.store_faults.append(Span("store", 9.0, 10.5))
    assert violations(observed) == []


def test_work_at_a_gone_endpoint_is_detected_unless_its_entry_was_cut_off() -> None:
    """Guards against a fault of one entry that excuses all entries."""
    row = make_outcome("once-1")
    observed = observe(row, runs=(make_run("once-1", started_at=13.0),))
    observed.gone_since["i-1"] = 10.0
    observed.store_faults.append(Span("entry-9", 9.0, 12.5))
    assert "was gone" in violations(observed)[0]
    observed.store_faults.append(Span(row.entry, 9.0, 12.5))
    assert violations(observed) == []


def test_run_at_a_service_of_no_applied_configuration_is_detected() -> None:
    observed = observe(make_outcome("once-1"), runs=(make_run("once-1", service="b"),))
    assert "no applied configuration" in violations(observed)[0]
    observed.route_changes.append((9.0, "b"))
    assert violations(observed) == []
    observed.route_changes[:] = [(0.0, "b"), (7.5, "a")]
    assert violations(observed)


def test_refusal_of_a_route_that_must_be_known_is_detected() -> None:
    observed = observe(make_outcome("new-1", status=404, path="/new-7/x"))
    assert "older configuration" in violations(observed)[0]
    observed.store_faults.append(Span("store", 7.0, 7.5))
    assert violations(observed) == []


def test_request_cut_by_a_planned_stop_is_detected() -> None:
    row = make_outcome("draft-1", is_whole=False, response_body=b"")
    observed = observe(row, runs=(make_run("draft-1"),))
    observed.planned_stops.append(Span("entry-0", 9.0, 17.0))
    assert "planned stop" in violations(observed)[0]
    observed.disruptions.append(Span("entry-0", 10.0, 11.0))
    assert violations(observed) == []
    observed.disruptions.clear()
    row.ended_at = row.sent_at + 3.1
    assert violations(observed) == []


def test_work_for_a_caller_that_has_left_is_detected() -> None:
    row = make_outcome("safe-1", status=0, is_whole=False, abandoned_at=10.2)
    late = make_run("safe-1", started_at=10.9)
    assert "after its caller" in violations(observe(row, runs=(late,)))[0]
    long = make_run("safe-1", started_at=10.1)
    long.ended_at = 11.5
    observed = observe(row, runs=(long,))
    assert "worked on" in violations(observed)[0]
    observed.disruptions.append(Span("entry-0", 8.0, 9.0))
    assert violations(observed) == []


def test_configuration_must_be_applied_soon_after_the_store_recovers() -> None:
    row = make_outcome("once-1", sent_at=13.5)
    observed = observe(row, runs=(make_run("once-1", started_at=13.6),))
    observed.route_changes[:] = [(0.0, "a"), (9.0, "b")]
    observed.store_faults.append(Span("store", 8.0, 11.0))
    assert violations(observed) == []
    observed.store_faults[0].end = 10.0
    assert "no applied configuration" in violations(observed)[0]


def test_token_limit_exceeded_in_any_window_is_detected() -> None:
    within = tuple(make_run(f"safe-{i}", started_at=10.0 + 3 * i) for i in range(9))
    assert violations(observe(runs=within)) == []
    over = (*within, make_run("safe-9", started_at=34.1))
    assert "token limit" in violations(observe(runs=over))[0]


def test_failed_requests_after_the_recovery_time_are_detected() -> None:
    lost = make_outcome("safe-1", status=502, sent_at=85.0)
    assert "all faults had ended" in violations(observe(lost))[0]


def test_unexpected_exit_of_an_entry_is_detected() -> None:
    observed = observe()
    observed.unexpected_exits.append("entry-0: -11")
    assert "exited unexpectedly" in violations(observed)[0]


def test_internal_error_is_detected() -> None:
    observed = observe()
    observed.internal_errors.append(
        'entry-0: {"event": 731, "message": "ZeroDivisionError()"}'
    )
    assert "logged an internal error" in violations(observed)[0]


def test_work_in_an_evacuated_hall_is_detected() -> None:
    observed = observe(make_outcome("once-1"), runs=(make_run("once-1", started_at=13.0),))
    observed.halls = {"i-1": "hall1"}
    observed.evacuations = [Span("hall1", 10.0, 14.0)]
    assert "evacuated hall" in violations(observed)[0]
    observed.evacuations = [Span("hall1", 11.5, 14.0)]
    assert violations(observed) == []
    observed.evacuations = [Span("hall1", 8.0, 12.9)]
    assert violations(observed) == []


def test_too_many_requests_at_a_cold_endpoint_are_detected() -> None:
    runs = tuple(
        replace(
            make_run(f"safe-{number}", started_at=10 + number / 40), organisation="free"
        )
        for number in range(21)
    )
    observed = observe(*(make_outcome(item.rid) for item in runs), runs=runs)
    assert violations(observed) == []
    observed.cold_spans = [Span("i-1", 9.0, 12.0)]
    assert "a cold endpoint" in violations(observed)[0]


def crashing_attempts(count: int, *, gap_s: float) -> tuple[list[Outcome], tuple[Run, ...]]:
    rows, runs = [], []
    for number in range(count):
        rid = f"draft-{number}"
        at = 10.0 + number * gap_s
        row = make_outcome(rid, status=502, is_whole=False, sent_at=at)
        row.is_crashing, row.request_body, row.ended_at = True, b"deadly 0", at + 0.1
        rows.append(row)
        crashed_run = replace(
            make_run(rid, worker=f"i-{number}", started_at=at + 0.01), organisation=""
        )
        crashed_run.ended_at = at + 0.05
        runs.append(crashed_run)
    return rows, tuple(runs)


def test_crashing_request_that_is_still_sent_is_detected() -> None:
    rows, runs = crashing_attempts(12, gap_s=1.0)
    assert (
        "was still sent: 1 (deadly 0: 6 sends" in violations(observe(*rows, runs=runs))[0]
    )


def test_crashing_request_may_be_sent_until_reports_spread_and_three_times_after() -> None:
    rows, runs = crashing_attempts(20, gap_s=0.1)
    assert not violations(observe(*rows, runs=runs))
    rows, runs = crashing_attempts(9, gap_s=1.0)
    assert not violations(observe(*rows, runs=runs))
    rows, runs = crashing_attempts(12, gap_s=1.0)
    disrupted = observe(*rows, runs=runs)
    disrupted.disruptions.append(Span("entry-0", 9.0, 60.0))
    assert not violations(disrupted)
    disrupted.disruptions[0].is_engine_fault = True
    assert violations(disrupted)


def make_notice(
    rid: str, at: float, *, limit: float = NO_LIMIT, **more: object
) -> SentNotice:
    notice = SentNotice(rid, "i-1", at, limit, 100.0, is_leaving=False, backoff_s=0.0)
    return replace(notice, **more)  # type: ignore[arg-type]


def notice_violations(notices: list[SentNotice], *times: float) -> list[str]:
    """Return the violations if requests of one entry arrive at these times."""
    rids = [f"new-{number}" for number in range(len(times))]
    rows = [make_outcome(rid, sent_at=at) for rid, at in zip(rids, times, strict=True)]
    observed = observe(*rows, make_outcome("once-1"), make_outcome("once-2"))
    observed.endpoint_log.notices = notices
    pairs = zip(rids, times, strict=True)
    observed.endpoint_log.arrivals = [Arrival(rid, "i-1", at) for rid, at in pairs]
    return [line for line in violations(observed) if "an endpoint received" in line]


def test_more_than_the_advertised_limit_is_detected_and_less_is_not() -> None:
    notices = [make_notice("once-1", 10.0, limit=1.0)]
    assert notice_violations(notices, *[14.0 + 0.1 * step for step in range(12)])
    assert not notice_violations(notices, *[14.0 + 0.1 * step for step in range(11)])
    # Sooner than all entries must have received the limit.
    assert not notice_violations(notices, *[11.0 + 0.1 * step for step in range(12)])
    # From an entry that did not receive the limit.
    assert not notice_violations([make_notice("gone", 10.0, limit=1.0)], *[14.0] * 12)


def test_replaced_limit_no_longer_applies() -> None:
    # More requests than the 8 that the first limit allows, but the endpoint advertises 8 a
    # second by then, or no limit.
    later = make_notice("once-2", 14.0, limit=8.0, limit_until=20.0)
    times = [14.1 + 0.1 * step for step in range(12)]
    assert not notice_violations([make_notice("once-1", 10.0, limit=0.5), later], *times)
    assert not notice_violations(
        [make_notice("once-1", 10.0, limit=0.5), make_notice("once-2", 14.0)], *times
    )


def test_work_at_an_endpoint_that_announced_leaving_is_detected() -> None:
    notices = [make_notice("once-1", 10.0, is_leaving=True)]
    assert notice_violations(notices, 12.5)
    assert not notice_violations(notices, 11.5)


def test_requests_during_a_back_off_are_detected() -> None:
    notices = [make_notice("once-1", 10.0, backoff_s=3.0)]
    assert notice_violations(notices, 10.6, 11.0, 12.0)
    assert not notice_violations(notices, 10.1, 10.4, 11.0, 12.0, 13.1)


def test_an_organisation_that_is_hardly_served_is_detected() -> None:
    rows = []
    for number in range(100):
        starved = make_outcome(f"draft-{number}", status=503, organisation="small")
        served = make_outcome(f"draft-{100 + number}", organisation="large")
        rows += [starved, served]
    assert "small: 0.00 of 100" in violations(observe(*rows))[0]
    for row in rows[:80:2]:
        row.status, row.response_body = 200, whole_body(row.rid)
    assert violations(observe(*rows)) == []


def versioned_body(rid: str, numbers: range, version: str) -> bytes:
    return b"".join(stream_event(rid, number, version) for number in numbers)


def broken_stream(version: str = "v1") -> Outcome:
    body = versioned_body("brief-1", range(1, 3), version)
    return make_outcome("brief-1", is_whole=False, response_body=body)


def take_up(number: int, version: str, *, status: int = 200) -> Outcome:
    rid = f"brief-{number}"
    body = versioned_body(rid, range(3, stream_length(rid) + 1), version)
    row = make_outcome(rid, status=status, after=2, stream_rid="brief-1")
    row.response_body = body if status == 200 else b""
    return row


def test_a_stream_of_two_software_versions_over_two_attempts_is_found() -> None:
    assert violations(observe(broken_stream(), take_up(2, "v1"))) == []
    (found,) = violations(observe(broken_stream(), take_up(2, "v2")))
    assert "several software versions" in found


def test_streams_that_are_rarely_taken_up_are_found_while_two_endpoints_serve() -> None:
    rows = [broken_stream(), *(take_up(n, "v1", status=503) for n in range(2, 14))]
    observed = observe(*rows)
    observed.version_changes = [(0.0, {"v1": 2})]
    (found,) = violations(observed)
    assert "too few streams were taken up: 12" in found
    observed.version_changes.append((10.2, {"v1": 1}))
    assert violations(observed) == []


def unanswered(rid: str, *, status: int = 0, ended_at: float = 10.9) -> Outcome:
    """Return a request that was sent whole and whose connection was closed."""
    row = make_outcome(rid, status=status, is_whole=False, response_body=b"")
    row.arrived_at, row.ended_at, row.error = row.sent_at, ended_at, "closed"
    return row


def test_a_stream_cut_while_its_endpoint_was_silent_is_detected() -> None:
    row = unanswered("brief-1", status=200)
    run = replace(make_run("brief-1"), silence_s=1.2, ended_at=10.9)
    (found,) = violations(observe(row, runs=(run,)))
    assert "neither a complete response nor a refusal: 1 (brief-1" in found


def test_a_request_on_a_kept_connection_that_is_closed_beside_a_change_is_detected() -> (
    None
):
    # It was read, since the connection was open for longer than requests take to cross.
    observed = observe(unanswered("safe-1"))
    observed.route_changes.append((10.1, "a"))
    (found,) = violations(observed)
    assert "neither a complete response nor a refusal: 1 (safe-1" in found
    observed.outcomes[0].was_reset = True
    assert violations(observed) == []
    # It was closed soon, but an endpoint had received the request by then.
    observed = observe(unanswered("safe-2", ended_at=10.15))
    assert violations(observed) == []
    observed.endpoint_log.arrivals.append(Arrival("safe-2", "i-1", 10.1))
    assert violations(observed)


def test_a_request_that_is_never_answered_is_detected_however_late_it_is() -> None:
    row = unanswered("safe-1", ended_at=14.0)
    row.abandoned_at = row.ended_at
    (found,) = violations(observe(row, runs=(make_run("safe-1", started_at=13.9),)))
    assert "neither a complete response nor a refusal" in found


def test_a_response_cut_at_its_timeout_or_beside_an_unplanned_fault_is_allowed() -> None:
    run = make_run("draft-1")
    late = unanswered("draft-1", status=200, ended_at=13.0)
    assert violations(observe(late, runs=(run,))) == []
    late.ended_at = 12.9
    assert violations(observe(late, runs=(run,)))
    # Pipelined: its time began when the response before it had been sent.
    late.arrived_at = 9.0
    assert violations(observe(late, runs=(run,))) == []
    observed = observe(unanswered("draft-1", status=200), runs=(run,))
    observed.disruptions.append(Span("entry-9", 9.0, 10.0))
    assert violations(observed)
    observed.disruptions.append(Span("", 7.5, 8.0, is_engine_fault=True))
    assert violations(observed) == []


def test_a_response_cut_at_the_end_of_the_grace_time_is_allowed_to_early_requests() -> None:
    row = unanswered("draft-1", status=200, ended_at=12.5)
    run = make_run("draft-1")
    observed = observe(row, runs=(run,))
    observed.planned_stops.append(Span(row.entry, 7.5, 12.6))
    run.ended_at = 11.0
    assert violations(observed)
    run.ended_at = 12.4
    assert all("neither" not in line for line in violations(observed))
    observed.planned_stops[0].start = 6.5
    assert any("neither" in line for line in violations(observed))


def test_a_request_behind_the_response_that_ended_its_connection_may_be_dropped() -> None:
    row = unanswered("once-1")
    row.is_dropped = True
    assert violations(observe(row)) == []
    assert violations(observe(row, runs=(make_run("once-1"),)))


def test_a_failure_in_place_of_the_response_of_a_silent_endpoint_is_detected() -> None:
    row = make_outcome("safe-1", status=502, ended_at=11.0)
    run = replace(make_run("safe-1"), silence_s=1.2)
    (found,) = violations(observe(row, runs=(run,)))
    assert "its silent endpoint would have answered: 1 (safe-1" in found
    run.silence_s = 2.5
    assert violations(observe(row, runs=(run,))) == []


@pytest.mark.parametrize("status", [401, 403, 404])
def test_denial_of_what_must_be_in_force_is_excused_by_no_fault(status: int) -> None:
    observed = observe(make_outcome("new-1", status=status, path="/new-1/x"))
    observed.store_faults = [Span("store", 5.0, 15.0)]
    observed.disruptions = [Span("", 5.0, 15.0)]
    assert violations(observed) == []
    observed.denies_only_current = True
    assert "may be older: 1" in violations(observed)[0]


def test_refusal_as_not_run_does_not_deny_what_must_be_in_force() -> None:
    observed = observe(make_outcome("new-1", status=503, path="/new-1/x"))
    observed.denies_only_current = True
    assert violations(observed) == []
