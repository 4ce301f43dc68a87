"""How well callers were served, measured from their first attempt."""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from ..metrics import Sample
from .routing_config import Route

ATTEMPTS_METRIC = "dockreach_direct_tries_total"
_ATTEMPTS_HELP = "Tries of callers by how they ended"

UNSERVED_TIME_METRIC = "dockreach_direct_unserved_held_objectives_total"
_UNSERVED_TIME_HELP = "Time that tries were held which were not served, in objectives"

_YES = "yes"


class Outcome(enum.StrEnum):
    """How one attempt of a caller ended."""

    IN_TIME = "in_time"
    """Complete, within its objective, without a gap beyond the gap objective."""

    LATE_FIRST = "late_first"
    """Complete, but the first event, or a plain response, came after the objective."""

    LATE_GAP = "late_gap"
    """Complete, but with a gap between events beyond the gap objective."""

    FAILED = "failed"
    """An endpoint's own error response was passed on."""

    REFUSED = "refused"
    """Not run."""

    LOST = "lost"
    """It may have run, but there is no response."""

    CUT = "cut"
    """The response was truncated."""

    LEFT = "left"
    """The caller closed its connection first."""


SERVED = frozenset((Outcome.IN_TIME, Outcome.LATE_FIRST, Outcome.LATE_GAP))


class DeliveryProgress:
    """What part of a response the caller has received so far.

    Attributes:
        events: Number of stream events that were passed on.
        first_at: Monotonic time of the first event or of a plain response, in seconds.
        last_at: Monotonic time of the last event or of a plain response, in seconds; minus
            infinity if there was none.
        longest_gap_s: Longest gap between events, in seconds.
        is_failure: Whether the response is an endpoint's own error response.
    """

    __slots__ = ("events", "first_at", "is_failure", "last_at", "longest_gap_s")

    def __init__(self) -> None:
        self.events = 0
        self.first_at: float | None = None
        self.longest_gap_s = 0.0
        self.is_failure = False
        self.last_at = -math.inf

    def record(self, events: int, now: float) -> None:
        """Record that events, or a plain response, were just passed on."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_at)
        self.last_at = now
        self.events += events


def classify_response(
    route: Route, progress: DeliveryProgress, first_attempt_at: float
) -> Outcome:
    """Return how well a complete response served its caller.

    Args:
        route: The request's route.
        progress: What the caller received, and when.
        first_attempt_at: Monotonic time of the caller's first attempt, in seconds.
    """
    if progress.is_failure or progress.first_at is None:
        return Outcome.FAILED
    if progress.first_at - first_attempt_at > route.objective_s:
        return Outcome.LATE_FIRST
    if route.gap_objective_s and progress.longest_gap_s > route.gap_objective_s:
        return Outcome.LATE_GAP
    return Outcome.IN_TIME


@dataclass(frozen=True, slots=True)
class OutcomeKey:
    """Key under which attempts are counted together.

    Attributes:
        tier: The route's tier; 0 is the highest.
        reason: Reason of the refusal; empty if there was none.
        is_retry: Whether the caller had tried before.
    """

    route: str
    tier: int
    outcome: Outcome
    reason: str
    is_retry: bool

    def labels(self) -> dict[str, str]:
        """Return the labels of its counters on the metrics page."""
        return {
            "route": self.route,
            "tier": str(self.tier),
            "outcome": self.outcome.value,
            "reason": self.reason,
            "returned": _YES if self.is_retry else "no",
        }

    @classmethod
    def from_labels(cls, labels: Mapping[str, str]) -> OutcomeKey:
        """Return the key that labels of a metrics page describe.

        Raises:
            KeyError: A label is missing.
            ValueError: A label has a value that this version does not know.
        """
        return cls(
            route=labels["route"],
            tier=int(labels["tier"]),
            outcome=Outcome(labels["outcome"]),
            reason=labels["reason"],
            is_retry=labels["returned"] == _YES,
        )


class OutcomeCounter:
    """Counts all attempts of callers by how they ended, without sampling."""

    def __init__(self) -> None:
        self.counts: Counter[OutcomeKey] = Counter()
        self._unserved_objectives: dict[OutcomeKey, float] = {}

    def record(self, key: OutcomeKey, objectives: float) -> None:
        """Count one attempt.

        Args:
            key: How it ended.
            objectives: How long the caller waited, in multiples of the route's objective;
                counts only if the attempt was not served.
        """
        self.counts[key] += 1
        if key.outcome not in SERVED:
            self._unserved_objectives[key] = (
                self._unserved_objectives.get(key, 0.0) + objectives
            )

    def samples(self) -> Iterator[Sample]:
        """Yield the counters for the metrics page."""
        for key, count in self.counts.items():
            yield Sample(ATTEMPTS_METRIC, _ATTEMPTS_HELP, count, key.labels())
        for key, objectives in self._unserved_objectives.items():
            yield Sample(
                UNSERVED_TIME_METRIC, _UNSERVED_TIME_HELP, objectives, key.labels()
            )
