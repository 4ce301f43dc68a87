"""How callers were served, counted from their first try."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ..metrics import Sample
from .fleet import Route

TRIES = "dockreach_direct_tries_total"
_TRIES_HELP = "Tries of callers by how they ended"

HELD = "dockreach_direct_unserved_held_objectives_total"
_HELD_HELP = "Time that tries were held which were not served, in objectives"

_YES = "yes"


class Outcome(enum.StrEnum):
    """How one try of a caller ended."""

    IN_TIME = "in_time"
    """Whole, within its objective, without a pause beyond the gap objective."""

    LATE_FIRST = "late_first"
    """Whole, but its first event, or a plain answer, came after its objective."""

    LATE_GAP = "late_gap"
    """Whole, but with a pause between events beyond the gap objective."""

    FAILED = "failed"
    """An endpoint's own failure was passed on."""

    REFUSED = "refused"
    """Not run."""

    LOST = "lost"
    """It may have run, and has no answer."""

    CUT = "cut"
    """The answer was broken off."""

    LEFT = "left"
    """The caller closed its connection first."""


SERVED = frozenset((Outcome.IN_TIME, Outcome.LATE_FIRST, Outcome.LATE_GAP))


class Progress:
    """What of an answer went to the caller so far.

    Attributes:
        events: Events of a stream that were passed on.
        first_at: Steady time of the first event or of a plain answer, in seconds.
        longest_gap_s: Longest pause between events, in seconds.
        is_failure: Whether the answer is an endpoint's own failure.
    """

    __slots__ = ("_last_at", "events", "first_at", "is_failure", "longest_gap_s")

    def __init__(self) -> None:
        self.events = 0
        self.first_at: float | None = None
        self.longest_gap_s = 0.0
        self.is_failure = False
        self._last_at = 0.0

    def count(self, events: int, now: float) -> None:
        """Note that events, or a plain answer, were passed on just now."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_at)
        self._last_at = now
        self.events += events


def judge_answer(route: Route, progress: Progress, tried_at: float) -> Outcome:
    """Return how an answer that ended whole served its caller.

    Args:
        route: The request's route.
        progress: What went to the caller.
        tried_at: Steady time of the caller's first try, in seconds.
    """
    if progress.is_failure or progress.first_at is None:
        return Outcome.FAILED
    if progress.first_at - tried_at > route.objective_s:
        return Outcome.LATE_FIRST
    if route.gap_objective_s and progress.longest_gap_s > route.gap_objective_s:
        return Outcome.LATE_GAP
    return Outcome.IN_TIME


@dataclass(frozen=True, slots=True)
class Ending:
    """What is counted together.

    Attributes:
        tier: The route's tier; 0 is the highest.
        reason: Why the try was not served; empty if it was.
        returned: Whether its caller had tried before.
    """

    route: str
    tier: int
    outcome: Outcome
    reason: str
    returned: bool

    def labels(self) -> dict[str, str]:
        """Return the labels of its counts on the metrics page."""
        return {
            "route": self.route,
            "tier": str(self.tier),
            "outcome": self.outcome.value,
            "reason": self.reason,
            "returned": _YES if self.returned else "no",
        }

    @classmethod
    def from_labels(cls, labels: Mapping[str, str]) -> Ending:
        """Return what labels of a metrics page stand for.

        Raises:
            KeyError: A label is missing.
            ValueError: A label is of another version.
        """
        return cls(
            route=labels["route"],
            tier=int(labels["tier"]),
            outcome=Outcome(labels["outcome"]),
            reason=labels["reason"],
            returned=labels["returned"] == _YES,
        )


class Tally:
    """Counts all tries, none left out, by how they ended."""

    def __init__(self) -> None:
        self.tries: Counter[Ending] = Counter()
        self._held: dict[Ending, float] = {}

    def add(self, ending: Ending, held: float) -> None:
        """Count one try.

        Args:
            ending: How it ended.
            held: How long it was held if it was not served, in objectives of its route.
        """
        self.tries[ending] += 1
        if ending.outcome not in SERVED:
            self._held[ending] = self._held.get(ending, 0.0) + held

    def samples(self) -> Iterator[Sample]:
        """Return the counts for the metrics page."""
        for ending, count in self.tries.items():
            yield Sample(TRIES, _TRIES_HELP, count, ending.labels())
        for ending, held in self._held.items():
            yield Sample(HELD, _HELD_HELP, held, ending.labels())
