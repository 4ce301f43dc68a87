"""Which of an endpoint's limit reports applies, and when the next request is due."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.stated import NO_RATE, LimitWord, SendLimit

NAMED = LimitWord(rate=1.0, asked=1.0, heard=2.0)


def limit(*reports: LimitWord) -> SendLimit:
    result = SendLimit()
    for report in reports:
        result.take(report)
    return result


def test_only_a_response_to_a_later_request_ends_a_limit() -> None:
    late = LimitWord(NO_RATE, asked=1.5, heard=3.0)
    assert limit(NAMED, late).is_on
    assert not limit(NAMED, LimitWord(NO_RATE, asked=2.0, heard=3.0)).is_on


def test_of_two_overlapping_reports_the_lower_rate_applies() -> None:
    other = LimitWord(rate=4.0, asked=1.2, heard=2.1)
    assert limit(NAMED, other).word.rate == 1.0
    assert limit(other, NAMED).word.rate == 1.0


def test_a_report_from_before_the_end_of_a_limit_does_not_restore_it() -> None:
    ended = LimitWord(NO_RATE, asked=2.5, heard=3.0)
    assert not limit(NAMED, ended, NAMED).is_on


def test_a_response_of_unknown_age_does_not_end_a_limit() -> None:
    assert limit(NAMED, LimitWord(NO_RATE, heard=9.0)).is_on


def test_an_unchanged_limit_keeps_the_time_of_the_next_request() -> None:
    active = limit(NAMED)
    active.note_send(2.0)
    assert not active.take(LimitWord(1.0, asked=2.0, heard=2.5))
    assert active.due == 3.0
    assert not active.take(LimitWord(NO_RATE, asked=2.2, heard=2.6))


words = st.builds(
    lambda rate, sent_at, took_s: LimitWord(rate, sent_at, sent_at + took_s),
    st.sampled_from([0.0, 1.0, 2.0, NO_RATE]),
    st.floats(0, 10),
    st.floats(0.001, 3),
)


@given(st.lists(words, min_size=1, max_size=6))
def test_in_any_order_of_reports_a_limit_is_no_higher_than_the_latest_ones(
    received: list[LimitWord],
) -> None:
    result = limit(*received)
    latest = [
        report
        for report in received
        if not any(other.is_after(report) for other in received)
    ]
    assert result.word.rate <= max(report.rate for report in latest)
