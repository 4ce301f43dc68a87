"""Noticing that an entry is out of step with the platform and with its peers."""

from __future__ import annotations

import logging
import math

import pytest

from dockreach.direct.list_confirmation import ListConfirmation
from dockreach.direct.version_coverage import PLATFORM, Confirmation

from .standins import fetch_page, start_entry

MAX_AGE_S = 4.0
OUT_OF_STEP, BACK_IN_STEP = 308, 309


class Confirmed:
    """A list that a test confirms."""

    def __init__(self) -> None:
        self.at = 100.0
        self.list = ListConfirmation(
            lambda: Confirmation(self.at, PLATFORM), lambda: MAX_AGE_S
        )

    def check(self, *times: float) -> None:
        for now in times:
            self.list.check(now)


def logged(caplog: pytest.LogCaptureFixture) -> list[tuple[int, float]]:
    fields = [vars(row) for row in caplog.records]
    return [(row["event"], row["unconfirmed_ms"]) for row in fields]


@pytest.fixture(autouse=True)
def _log_all(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, "dockreach")


def test_an_entry_out_of_step_says_so_once_and_when_it_is_back(
    caplog: pytest.LogCaptureFixture,
) -> None:
    confirmed = Confirmed()
    confirmed.check(101.0, 104.0, 104.5, 107.0, 109.0)
    assert confirmed.list.is_out_of_step
    assert logged(caplog) == [(OUT_OF_STEP, 4500)]
    confirmed.at = 109.2
    confirmed.check(109.5, 110.0)
    assert logged(caplog) == [(OUT_OF_STEP, 4500), (BACK_IN_STEP, 9500)]
    assert not confirmed.list.is_out_of_step
    assert confirmed.list.count == 1


def test_an_entry_in_step_or_without_a_list_says_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    confirmed = Confirmed()
    for _ in range(20):
        confirmed.at += MAX_AGE_S
        confirmed.check(confirmed.at, confirmed.at + MAX_AGE_S)
    confirmed.at = -math.inf
    confirmed.check(1000.0)
    assert confirmed.list.age_s(1000.0) == 0.0
    assert logged(caplog) == []


def test_metrics_show_stalls_and_the_age_of_the_last_confirmation() -> None:
    entry = start_entry()
    address = entry.settings.metrics_address
    assert address is not None
    page = fetch_page(address, "/metrics")
    for name in (
        b"dockreach_direct_stalls_total",
        b"dockreach_direct_stall_seconds_total",
        b"dockreach_direct_list_unconfirmed_seconds",
        b"dockreach_direct_out_of_step_total",
    ):
        assert name in page
