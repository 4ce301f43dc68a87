"""Which of an endpoint's limit reports applies, and when the next request is due."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.advertised_state import UNLIMITED_RATE, LimitReport, RateLimit

ACTIVE = LimitReport(rate=1.0, request_sent_at=1.0, received_at=2.0)


def limit(*reports: LimitReport) -> RateLimit:
    result = RateLimit()
    for report in reports:
        result.apply(report)
    return result


def test_only_a_response_to_a_later_request_ends_a_limit() -> None:
    late = LimitReport(UNLIMITED_RATE, request_sent_at=1.5, received_at=3.0)
    assert limit(ACTIVE, late).is_active
    assert not limit(
        ACTIVE, LimitReport(UNLIMITED_RATE, request_sent_at=2.0, received_at=3.0)
    ).is_active


def test_of_two_overlapping_reports_the_lower_rate_applies() -> None:
    other = LimitReport(rate=4.0, request_sent_at=1.2, received_at=2.1)
    assert limit(ACTIVE, other).report.rate == 1.0
    assert limit(other, ACTIVE).report.rate == 1.0


def test_a_report_from_before_the_end_of_a_limit_does_not_restore_it() -> None:
    ended = LimitReport(UNLIMITED_RATE, request_sent_at=2.5, received_at=3.0)
    assert not limit(ACTIVE, ended, ACTIVE).is_active


def test_a_response_of_unknown_age_does_not_end_a_limit() -> None:
    assert limit(ACTIVE, LimitReport(UNLIMITED_RATE, received_at=9.0)).is_active


def test_an_unchanged_limit_keeps_the_time_of_the_next_request() -> None:
    active = limit(ACTIVE)
    active.record_send(2.0)
    assert not active.apply(LimitReport(1.0, request_sent_at=2.0, received_at=2.5))
    assert active.next_due == 3.0
    assert not active.apply(
        LimitReport(UNLIMITED_RATE, request_sent_at=2.2, received_at=2.6)
    )


reports = st.builds(
    lambda rate, sent_at, took_s: LimitReport(rate, sent_at, sent_at + took_s),
    st.sampled_from([0.0, 1.0, 2.0, UNLIMITED_RATE]),
    st.floats(0, 10),
    st.floats(0.001, 3),
)


@given(st.lists(reports, min_size=1, max_size=6))
def test_in_any_order_of_reports_a_limit_is_no_higher_than_the_latest_ones(
    received: list[LimitReport],
) -> None:
    result = limit(*received)
    latest = [
        report
        for report in received
        if not any(other.is_after(report) for other in received)
    ]
    assert result.report.rate <= max(report.rate for report in latest)
