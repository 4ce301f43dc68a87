"""Callers of long streams, which break some off and take broken ones up patiently."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import eventlet

from .clients import RESUMABLE_ROUTE_KINDS, Outcome
from .process_callers import ProcessCallers
from .worker_content import is_long, request_body

KINDS = ("once", "safe", "report", "report", "grade", "grade", "story", "story", "story")
"""Kinds of routes; most are those of streams, of which one kind may be resumed."""

LONG_DEADLINE_S = 6.0
LONG_PATIENCE_S = LONG_DEADLINE_S + 2.5
"""How long the entry is told that the caller of a long stream waits, and how long it does,
in seconds."""

BODY_BYTES = (20, 20, 900, 12_000)
"""Sizes of a request's body, in bytes."""

BROKEN_OFF_FRACTION = 0.15
BROKEN_OFF_S = (0.1, 1.0)
"""Fraction of the resumable streams that their callers break off, and after how long, in
seconds."""

TAKE_UP_S = 6.0
"""How long a caller tries to take a broken stream up, in seconds."""

RETRY_PAUSE_S = (0.02, 0.4)
"""Shortest and longest pause between its attempts, in seconds."""

MAX_RETRY_AFTER_S = 1.5
"""How long a caller waits at most because of a Retry-After, in seconds."""

RETRIED_STATUSES = (0, 408, 421, 429, 502, 503, 504)
"""Results after which a caller tries again; 0 for a closed connection."""


MAX_TAKE_UPS = 1000
"""How often a caller tries that at most; usually its time is up before."""

MAX_TURNS = 5
"""How often a caller turns to another entry with a request that was not read."""


@dataclass(slots=True)
class RejoinedCallers(ProcessCallers):
    """Callers that go on for seconds with a stream that broke."""

    kinds: tuple[str, ...] = field(default=KINDS)

    def run_burst(self, key: str, requests: int) -> None:
        """Send requests at the same time, each on a connection of its own."""
        for _ in range(requests):
            eventlet.spawn(self._send_one, key)

    def _send_one(self, key: str) -> None:
        entry, address = self.rng.choice(self.addresses())
        outcome = self._draw_request()
        outcome.entry = entry
        self._send_alone(outcome, address, key)
        self._follow_up(outcome, key)

    def _draw_request(self) -> Outcome:
        outcome = ProcessCallers._draw_request(self)
        outcome.request_body = request_body(outcome.rid, self.rng.choice(BODY_BYTES))
        if is_long(outcome.rid) and not outcome.is_abandoned_early:
            outcome.deadline_s, outcome.timeout_s = LONG_DEADLINE_S, LONG_PATIENCE_S
        if (
            outcome.kind in RESUMABLE_ROUTE_KINDS
            and self.rng.random() < BROKEN_OFF_FRACTION
        ):
            outcome.timeout_s = self.rng.uniform(*BROKEN_OFF_S)
        return outcome

    def _follow_up(self, outcome: Outcome, key: str) -> None:
        """Take up a stream, broken off by its caller or not, or turn to another entry."""
        is_stream = outcome.kind in RESUMABLE_ROUTE_KINDS and outcome.status == 200
        if is_stream and not outcome.is_whole and outcome.last_event > 0:
            self._take_up_broken(outcome, key)
        elif was_reset(outcome):
            self._send_elsewhere(outcome, key)

    def _send_elsewhere(self, unread: Outcome, key: str) -> None:
        """Turn to other entries, as callers do if a busy entry reads nothing."""
        for _ in range(MAX_TURNS):
            unread.is_dropped = True
            eventlet.sleep(self.rng.uniform(*RETRY_PAUSE_S))
            if self.is_stopped:
                return
            others = [pair for pair in self.addresses() if pair[0] != unread.entry]
            entry, address = self.rng.choice(others or self.addresses())
            again = self._draw_request()
            again.kind, again.entry = unread.kind, entry
            again.rid = self.make_rid(unread.kind)
            again.request_body = request_body(again.rid, len(unread.request_body))
            self._send_alone(again, address, key)
            if not was_reset(again):
                return
            unread = again

    def _draw_take_ups(self) -> int:
        """Return how often a caller tries to take a broken stream up."""
        return MAX_TAKE_UPS

    def _take_up_broken(self, broken: Outcome, key: str) -> None:
        """Take a broken stream up at other entries until it is whole, or time is up."""
        until = time.monotonic() + TAKE_UP_S
        after, entry, kind = broken.last_event, broken.entry, broken.kind
        left = self._draw_take_ups()
        while left and time.monotonic() < until and not self.is_stopped:
            left -= 1
            others = [pair for pair in self.addresses() if pair[0] != entry]
            entry, address = self.rng.choice(others or self.addresses())
            again = Outcome(self.make_rid(kind), kind, entry, time.monotonic())
            again.deadline_s, again.timeout_s = LONG_DEADLINE_S, LONG_PATIENCE_S
            again.request_body = request_body(again.rid, len(broken.request_body))
            again.after, again.stream_rid = after, broken.rid
            self._send_alone(again, address, key)
            again.is_dropped = was_reset(again)
            is_cut = again.status == 200 and not again.is_whole
            if not is_cut and again.status not in RETRIED_STATUSES:
                return
            after = again.last_event or after
            retry_after_s = min(float(again.retry_after or 0), MAX_RETRY_AFTER_S)
            eventlet.sleep(retry_after_s + self.rng.uniform(*RETRY_PAUSE_S))


def was_reset(outcome: Outcome) -> bool:
    """Return whether the connection was reset before a response began."""
    return not outcome.status and outcome.error.startswith("ConnectionResetError")
