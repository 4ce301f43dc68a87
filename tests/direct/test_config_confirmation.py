"""How recent an entry's configuration is known to be, and by whom."""

from __future__ import annotations

import logging
import math

import msgspec
import pytest

from dockreach.direct.config_confirmation import ConfigConfirmation
from dockreach.direct.feeds import Feed
from dockreach.direct.peers import MAX_DATAGRAM_DELAY_S
from dockreach.direct.version_coverage import PLATFORM

from .core_builders import address, digest, peers
from .standins import Caller, fetch_page, revision, start_entry

REQUEST_REFUSED = 701
MAX_AGE_S = 2.0


class Known:
    """A configuration, and what this entry and its peers know of it."""

    def __init__(self, number: int = 3) -> None:
        self.feed = Feed()
        self.peers = peers()
        self.configuration = ConfigConfirmation(self.feed, self.peers, lambda: MAX_AGE_S)
        self.configuration.apply(revision(number), "store", 90.0)

    def read(self, called_at: float, held_s: float = 0.0) -> None:
        """Record a call that the platform answered."""
        self.feed.called_at = called_at
        self.feed.mark_caught_up(held_s)

    def hear(self, known_s: float, *, number: int = 3, at: float = 100.0) -> None:
        """Receive a digest of a peer."""
        sent = digest(address(1), revision=number)
        self.peers.merge(msgspec.structs.replace(sent, configuration_known_s=known_s), at)

    def at(self, now: float = 100.0) -> float:
        """Return up to when all changes are known."""
        return self.configuration.last(now).at


def test_a_response_shows_the_changes_until_its_call_was_sent() -> None:
    known = Known()
    assert known.at() == -math.inf
    known.read(98.0)
    assert known.at() == 98.0
    assert known.configuration.last(100.0).by == PLATFORM


def test_a_call_that_was_held_without_a_change_shows_that_time_too() -> None:
    known = Known()
    known.read(98.0, held_s=1.2)
    assert known.at() == pytest.approx(99.2)


def test_nothing_is_known_while_the_newest_configuration_is_not_valid() -> None:
    known = Known()
    known.read(98.0)
    known.configuration.record_item(7, is_valid=False)
    assert known.at() == -math.inf
    known.configuration.record_item(6, is_valid=True)
    assert known.at() == -math.inf
    known.configuration.record_item(8, is_valid=True)
    assert known.at() == 98.0


def test_a_peer_with_the_same_or_an_older_configuration_confirms_it() -> None:
    known = Known()
    known.read(95.0)
    known.hear(0.5)
    assert known.at() == pytest.approx(99.5 - MAX_DATAGRAM_DELAY_S)
    assert known.configuration.last(100.0).by == "10.0.0.3"


@pytest.mark.parametrize(("number", "known_s"), [(4, 0.5), (3, math.inf)])
def test_a_peer_with_a_newer_configuration_or_without_calls_confirms_nothing(
    number: int, known_s: float
) -> None:
    known = Known()
    known.read(95.0)
    known.hear(known_s, number=number)
    assert known.at() == 95.0


def test_a_silent_peer_confirms_nothing() -> None:
    known = Known()
    known.hear(0.5)
    assert known.at(110.0) == -math.inf


def test_a_refusal_for_an_unknown_route_tells_how_recent_the_configuration_is(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO, "dockreach")
    entry = start_entry()
    caller = Caller(entry)
    caller.send("/unknown/x", method="GET")
    caller.read_response()
    line = next(
        vars(row) for row in caplog.records if vars(row)["event"] == REQUEST_REFUSED
    )
    assert line["reason"] == "unknown_service"
    assert line["config_from"] == "test"
    assert line["config_applied_ms"] >= 0
    assert line["config_confirmed_ms"] is None
    assert line["config_confirmed_by"] == ""


def test_the_age_of_the_last_confirmation_is_a_metric() -> None:
    address = start_entry().settings.metrics_address
    assert address is not None
    page = fetch_page(address, "/metrics")
    assert b"dockreach_direct_configuration_unconfirmed_seconds" in page
