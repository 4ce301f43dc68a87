"""What is known of one request under which engines ended.

Load pattern: one request ends several engines, one after the other and at a moment, while
engines end for other reasons under requests that are sound.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

SUDDEN_PART = 0.5
"""What a run counts whose engine may have ended before it was sent the request; others
count 1."""

ENDS_ENOUGH = 3
"""Ends of engines under one request after which it is run with care, if at all: by then it
is likely to be what brings them about."""

MOST_ENDS = 6
"""Ends of engines that are kept for one request."""


class ToldEnd(msgspec.Struct, array_like=True):
    """What one entry tells of the end of an engine under a request.

    Attributes:
        life: Of the engine.
        sent_s: How long ago the request was sent to it, in seconds.
        ended_s: How long ago it ended, in seconds.
        is_sudden: Whether it may have ended before it was sent the request.
    """

    life: str
    sent_s: float
    ended_s: float
    is_sudden: bool = False


class Suspect(msgspec.Struct, array_like=True):
    """What one entry tells of a request under which engines ended.

    Attributes:
        fingerprint: Of the request.
        ends: Engines that ended under it.
        cleared: Those of them that ended for another reason: it was answered since.
        came_s: How long ago it came last, in seconds.
    """

    fingerprint: bytes
    ends: list[ToldEnd]
    cleared: list[str]
    came_s: float


class Run(NamedTuple):
    """A run under which an engine ended.

    Attributes:
        life: Of the engine.
        sent: Steady time at which the request was sent to it, in seconds.
        ended: Steady time of the end, in seconds.
        is_sudden: Whether the engine may have ended before.
    """

    life: str
    sent: float
    ended: float
    is_sudden: bool = False

    @classmethod
    def told(cls, end: ToldEnd, now: float) -> Run:
        """Return the run of which another entry tells."""
        return cls(end.life, now - end.sent_s, now - end.ended_s, end.is_sudden)


@dataclass(slots=True)
class Record:
    """What is known of one request.

    Attributes:
        ends: Its runs under which an engine ended, by the engine's life.
        cleared: Ends that it did not bring about.
        came: Steady time at which it came last, in seconds.
        changed: Steady time at which something new became known, in seconds.
        tried: Steady time of the last trial here, in seconds.
    """

    came: float
    changed: float
    tried: float = -math.inf
    ends: dict[str, Run] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)

    def runs(self, ended: Mapping[str, float]) -> list[Run]:
        """Return the runs, one after the other, under which engines ended.

        Runs at the same time count once: a whole service is killed at a moment, with the
        same sound request under way at several engines.

        Args:
            ended: Steady time of the first sign of each engine's end, in seconds.
        """
        found: list[Run] = []
        for run in self._suspected(ended):
            if not found or run.sent >= found[-1].ended:
                found.append(run)
        return found

    def signs(self, ended: Mapping[str, float]) -> float:
        """Return what the runs count."""
        return sum(SUDDEN_PART if run.is_sudden else 1.0 for run in self.runs(ended))

    def late_runs(self, ended: Mapping[str, float]) -> int:
        """Return how many runs were sent after `ENDS_ENOUGH` engines had ended."""
        suspected = self._suspected(ended)
        if len(suspected) < ENDS_ENOUGH:
            return 0
        since = suspected[ENDS_ENOUGH - 1].ended
        return sum(run.sent >= since for run in suspected)

    def is_doubted(self, ended: Mapping[str, float]) -> bool:
        """Return whether `ENDS_ENOUGH` engines ended under it, be it at a moment."""
        return len(self.ends) >= ENDS_ENOUGH <= len(self._suspected(ended))

    def _suspected(self, ended: Mapping[str, float]) -> list[Run]:
        """Return the runs that may have ended their engines, the earliest end first.

        What was sent to an engine after its end was lost there, and did not end it.
        """
        found = [
            run
            for run in self.ends.values()
            if run.life not in self.cleared and run.sent < ended.get(run.life, run.ended)
        ]
        return sorted(found, key=lambda run: run.ended)

    def add(self, run: Run, ended: Mapping[str, float]) -> bool:
        """Add an end; return whether it is news."""
        known = self.ends.get(run.life)
        if known is not None:
            # A message that was held up tells of an end as later than it was.
            self.ends[run.life] = min(known, run, key=lambda run: run.ended)
            return False
        self.ends[run.life] = run
        if len(self.ends) > MOST_ENDS:
            self._forget_one(ended)
        return run.life in self.ends

    def _forget_one(self, ended: Mapping[str, float]) -> None:
        """Forget an end that it did not bring about, else the latest that does not count.

        Six engines that end at a moment would else hide all that end later.
        """
        counted = self.runs(ended)

        def worth(run: Run) -> tuple[bool, bool, float]:
            return run.life not in self.cleared, run in counted, -run.ended

        life = min(self.ends.values(), key=worth).life
        del self.ends[life]
        self.cleared.discard(life)

    def clear(self, lives: Iterable[str]) -> bool:
        """Take ends off it; return whether that is news."""
        found = set(lives) & self.ends.keys() - self.cleared
        self.cleared |= found
        return bool(found)
