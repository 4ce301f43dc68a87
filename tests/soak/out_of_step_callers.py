"""Callers that take broken streams up at just the entries that are out of step."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field

import eventlet

from .clients import Outcome
from .rejoined_callers import (
    LONG_DEADLINE_S,
    LONG_PATIENCE_S,
    RETRIED_STATUSES,
    RETRY_PAUSE_S,
    RejoinedCallers,
    was_reset,
)
from .worker_content import request_body

TO_OUT_OF_STEP_FRACTION = 0.7
"""Fraction of the take-ups that go to an entry that is out of step, if there is one."""

SAME_ENTRY_FRACTION = 0.5
"""Fraction of the refused callers who come back at the same entry."""

BROKEN_OFF_S = (0.25, 0.9)
"""After how long callers of streams to be taken up break them off, in seconds."""

KEPT_FRACTION = 0.3
"""Fraction of these callers who stay until the stream breaks."""

TAKE_UP_S = 9.0
"""How long a caller tries to take a broken stream up, in seconds: longer than an entry
stands still."""

MAX_RETRY_AFTER_S = 5.0
"""How long a caller waits at most because of a Retry-After, in seconds."""

FIRST_PAUSE_S = (0.0, 0.3)
"""Shortest and longest time from the break of a stream to its first take-up, in seconds."""

BURST_BODY_BYTES = 60


@dataclass(slots=True)
class OutOfStepCallers(RejoinedCallers):
    """Callers of the streams of several services.

    Attributes:
        paths: Target paths of the routes of resumable streams.
        out_of_step: Names of the entries that are out of step, each as often as there is a
            reason for it.
    """

    paths: list[str] = field(default_factory=list)
    out_of_step: Counter[str] = field(default_factory=Counter)

    def run_streams(self, key: str, path: str, streams: int) -> None:
        """Begin streams at entries that are in step, and take them up when they break."""
        for _ in range(streams):
            eventlet.spawn(self._run_stream, key, path)

    def _run_stream(self, key: str, path: str) -> None:
        entry, address = self._draw_entry(self._in_step())
        outcome = Outcome(self.make_rid("story"), "story", entry, time.monotonic())
        outcome.path = path
        outcome.deadline_s, outcome.timeout_s = LONG_DEADLINE_S, LONG_PATIENCE_S
        outcome.request_body = request_body(outcome.rid, BURST_BODY_BYTES)
        if self.rng.random() >= KEPT_FRACTION:
            outcome.timeout_s = self.rng.uniform(*BROKEN_OFF_S)
        self._send_alone(outcome, address, key)
        self._follow_up(outcome, key)

    def _draw_request(self) -> Outcome:
        outcome = RejoinedCallers._draw_request(self)
        self._draw_path(outcome)
        return outcome

    def _send_alone(self, outcome: Outcome, address: str, key: str) -> None:
        self._draw_path(outcome)
        RejoinedCallers._send_alone(self, outcome, address, key)

    def _draw_path(self, outcome: Outcome) -> None:
        """Let a resumable stream go to one of its routes, and others to theirs."""
        if outcome.kind != "story":
            outcome.path = ""
        elif not outcome.path:
            outcome.path = self.rng.choice(self.paths)

    def _take_up_broken(self, broken: Outcome, key: str) -> None:
        """Take a broken stream up until it is whole, or time is up."""
        until = time.monotonic() + TAKE_UP_S
        after, entry = broken.last_event, broken.entry
        eventlet.sleep(self.rng.uniform(*FIRST_PAUSE_S))
        pairs = self._for_take_up(but=entry)
        while time.monotonic() < until and not self.is_stopped:
            entry, address = self._draw_entry(pairs)
            again = Outcome(self.make_rid("story"), "story", entry, time.monotonic())
            again.path = broken.path
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
            pairs = [(entry, address)]
            if again.status != 503 or self.rng.random() >= SAME_ENTRY_FRACTION:
                pairs = self._for_take_up(but=entry)

    def _draw_entry(self, pairs: list[tuple[str, str]]) -> tuple[str, str]:
        return self.rng.choice(pairs or self.addresses())

    def _in_step(self) -> list[tuple[str, str]]:
        return [pair for pair in self.addresses() if not self.out_of_step[pair[0]]]

    def _for_take_up(self, but: str) -> list[tuple[str, str]]:
        """Return entries at which to take a stream up; an entry is avoided if possible."""
        others = [pair for pair in self.addresses() if pair[0] != but]
        late = [pair for pair in others if self.out_of_step[pair[0]]]
        return late if self.rng.random() < TO_OUT_OF_STEP_FRACTION else others
