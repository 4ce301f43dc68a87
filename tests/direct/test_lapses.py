"""How long a lapsed endpoint is kept, given what the platform answered to peers."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.feeds import FAILING
from dockreach.direct.lapses import (
    LAPSE_GRACE_S,
    AnsweredPeriod,
    answered_periods,
    grace_end,
)
from dockreach.direct.peers import MAX_DATAGRAM_DELAY_S, PeerRow

from .core_builders import address, digest

HALL, OTHER_HALL = "hall1", "hall2"
LAPSED_AT = 100.0


def peer(*, hall: str = HALL, answered_s: int, age_s: float, received_at: float) -> PeerRow:
    sent = digest(address(1), hall=hall, configuration_age_s=age_s)
    return PeerRow(
        msgspec.structs.replace(sent, endpoints_answered_s=answered_s), received_at
    )


def test_without_peers_the_grace_period_counts_from_the_first_response() -> None:
    assert grace_end(LAPSED_AT, HALL, []) == LAPSED_AT + LAPSE_GRACE_S


def test_an_endpoint_is_not_kept_if_a_peer_beside_it_was_answered_all_the_time() -> None:
    periods = [AnsweredPeriod(HALL, 40.0, 100.5)]
    assert grace_end(LAPSED_AT, HALL, periods) < LAPSED_AT


def test_the_grace_period_counts_from_the_end_of_the_outage_that_a_peer_saw() -> None:
    """Guards against a longer grace at an entry that was cut off beyond an outage."""
    periods = [AnsweredPeriod(HALL, 99.0, 100.5)]
    assert grace_end(LAPSED_AT, HALL, periods) == 99.0 + LAPSE_GRACE_S


@pytest.mark.parametrize(
    "period",
    [
        pytest.param(AnsweredPeriod(HALL, 40.0, 99.9), id="not answered since"),
        pytest.param(AnsweredPeriod(OTHER_HALL, 40.0, 100.5), id="other data hall"),
    ],
)
def test_a_peer_that_may_have_missed_the_outage_proves_nothing(
    period: AnsweredPeriod,
) -> None:
    """Guards against running endpoints that are dropped after an outage of their hall."""
    assert grace_end(LAPSED_AT, HALL, [period]) == LAPSED_AT + LAPSE_GRACE_S


def test_a_peer_reports_until_when_the_platform_answered_it() -> None:
    row = peer(answered_s=5, age_s=0.5, received_at=101.0)
    (period,) = answered_periods([row], record_margin_s=2.4)
    last_response_at = 100.5 - MAX_DATAGRAM_DELAY_S
    assert period.since == pytest.approx(last_response_at - 5)
    assert period.until == pytest.approx(last_response_at + 2.4)


@pytest.mark.parametrize("answered_s", [0, FAILING])
def test_a_peer_whose_calls_fail_or_of_an_earlier_version_reports_no_time(
    answered_s: int,
) -> None:
    row = peer(answered_s=answered_s, age_s=0.0, received_at=101.0)
    assert answered_periods([row], record_margin_s=2.4) == []


@given(
    st.lists(
        st.builds(
            AnsweredPeriod,
            st.sampled_from([HALL, OTHER_HALL]),
            st.floats(0.0, 100.0),
            st.floats(90.0, 110.0),
        )
    )
)
def test_peers_never_extend_the_grace_period(periods: list[AnsweredPeriod]) -> None:
    assert grace_end(LAPSED_AT, HALL, periods) <= LAPSED_AT + LAPSE_GRACE_S


def test_a_digest_that_waited_vouches_only_for_the_time_that_is_certain() -> None:
    """Guards against running endpoints that are dropped after an outage in a stop."""
    row = peer(answered_s=5, age_s=0.5, received_at=101.0)
    row.early_s, row.late_s = 0.1, 5.0
    (period,) = answered_periods([row], record_margin_s=2.4)
    assert period.since == pytest.approx(105.5 - MAX_DATAGRAM_DELAY_S - 5)
    assert period.until == pytest.approx(100.4 - MAX_DATAGRAM_DELAY_S + 2.4)
