"""Crash history of one request: the engines that crashed while they ran it.

A request may crash several engines, one after another or all at once, while engines also
exit for other reasons during harmless requests.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

SUDDEN_PART = 0.5
"""Weight of a crashed run whose engine may have been dead before the request was sent to
it; other runs have weight 1."""

ENDS_ENOUGH = 3
"""Number of engine crashes after which at most one copy of the request runs at a time: by
then it is likely to be the cause."""

MOST_ENDS = 6
"""Maximum number of engine crashes kept for one request."""


class ToldEnd(msgspec.Struct, array_like=True):
    """An engine crash during a request, as one entry reports it to others.

    Attributes:
        life: Incarnation of the engine.
        sent_s: Time since the request was sent to it, in seconds.
        ended_s: Time since it crashed, in seconds.
        is_sudden: Whether it may have been dead before the request was sent to it.
    """

    life: str
    sent_s: float
    ended_s: float
    is_sudden: bool = False


class Suspect(msgspec.Struct, array_like=True):
    """The crash history of a request, as one entry reports it to others.

    Attributes:
        fingerprint: Of the request.
        ends: Engine crashes while the request was running.
        cleared: Incarnations among them that exited for another reason: the request has
            completed since.
        came_s: Time since the request last arrived, in seconds.
    """

    fingerprint: bytes
    ends: list[ToldEnd]
    cleared: list[str]
    came_s: float


class Run(NamedTuple):
    """A run of a request during which the engine crashed.

    Attributes:
        life: Incarnation of the engine.
        sent: Monotonic time at which the request was sent to it, in seconds.
        ended: Monotonic time of the crash, in seconds.
        is_sudden: Whether the engine may have been dead before.
    """

    life: str
    sent: float
    ended: float
    is_sudden: bool = False

    @classmethod
    def told(cls, crash: ToldEnd, now: float) -> Run:
        """Return the run that another entry reports."""
        return cls(crash.life, now - crash.sent_s, now - crash.ended_s, crash.is_sudden)


@dataclass(slots=True)
class Record:
    """The crashes observed while one request was running.

    Attributes:
        ends: Its crashed runs, by incarnation of the engine.
        cleared: Incarnations whose crash it did not cause.
        came: Monotonic time at which it last arrived, in seconds.
        changed: Monotonic time at which the history last changed, in seconds.
        tried: Monotonic time of the last run that was let through here under restrictions,
            as a probe or as the single copy, in seconds.
    """

    came: float
    changed: float
    tried: float = -math.inf
    ends: dict[str, Run] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)

    def runs(self, crashed_at: Mapping[str, float]) -> list[Run]:
        """Return the crashed runs that did not overlap in time.

        Overlapping runs count once: a whole service may be killed at once while the same
        harmless request is in flight at several of its engines.

        Args:
            crashed_at: Earliest known monotonic time of each engine's crash, in seconds.
        """
        sequential: list[Run] = []
        for run in self._suspected(crashed_at):
            if not sequential or run.sent >= sequential[-1].ended:
                sequential.append(run)
        return sequential

    def signs(self, crashed_at: Mapping[str, float]) -> float:
        """Return the sum of the weights of the runs."""
        return sum(SUDDEN_PART if run.is_sudden else 1.0 for run in self.runs(crashed_at))

    def late_runs(self, crashed_at: Mapping[str, float]) -> int:
        """Return how many runs were sent after `SERIALIZE_AFTER` engines had crashed."""
        runs = self._suspected(crashed_at)
        if len(runs) < ENDS_ENOUGH:
            return 0
        since = runs[ENDS_ENOUGH - 1].ended
        return sum(run.sent >= since for run in runs)

    def is_doubted(self, crashed_at: Mapping[str, float]) -> bool:
        """Return whether `SERIALIZE_AFTER` engines crashed, even if all at once."""
        return len(self.ends) >= ENDS_ENOUGH <= len(self._suspected(crashed_at))

    def _suspected(self, crashed_at: Mapping[str, float]) -> list[Run]:
        """Return the runs that may have crashed their engines, the earliest crash first.

        A request that was sent to an engine after its crash was lost there and is not the
        cause.
        """
        suspected = [
            run
            for run in self.ends.values()
            if run.life not in self.cleared
            and run.sent < crashed_at.get(run.life, run.ended)
        ]
        return sorted(suspected, key=lambda run: run.ended)

    def add(self, run: Run, crashed_at: Mapping[str, float]) -> bool:
        """Add a crashed run; return whether it is new."""
        known = self.ends.get(run.life)
        if known is not None:
            # A report that was delayed dates the crash too late.
            self.ends[run.life] = min(known, run, key=lambda run: run.ended)
            return False
        self.ends[run.life] = run
        if len(self.ends) > MOST_ENDS:
            self._forget_one(crashed_at)
        return run.life in self.ends

    def _forget_one(self, crashed_at: Mapping[str, float]) -> None:
        """Drop a crash that it did not cause, else the latest one that does not count.

        Otherwise six engines that crash at once would hide all later crashes.
        """
        counted = self.runs(crashed_at)

        def priority(run: Run) -> tuple[bool, bool, float]:
            return run.life not in self.cleared, run in counted, -run.ended

        incarnation = min(self.ends.values(), key=priority).life
        del self.ends[incarnation]
        self.cleared.discard(incarnation)

    def clear(self, incarnations: Iterable[str]) -> bool:
        """Mark crashes as not caused by it; return whether that is new."""
        newly_cleared = set(incarnations) & self.ends.keys() - self.cleared
        self.cleared |= newly_cleared
        return bool(newly_cleared)
