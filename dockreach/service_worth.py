"""How well a service serves its callers, and what that is worth by an operator's weights.

Requests are counted from a caller's first attempt: a refusal that is followed by a
successful retry gains nothing by itself. The worth is 1 if all were served in time; the
operator says what a late response counts, what the time costs that a request waits in vain,
and what each retry costs that fails or is refused again.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .direct.outcomes import Outcome, OutcomeKey

CALLER_FAULT_REASONS = frozenset(("bad_key", "unknown_service", "bad_request"))
"""Reasons of refusals for which the caller is responsible; they do not count."""


@dataclass(frozen=True, slots=True)
class Prices:
    """An operator's weights, relative to a request that is served in time.

    Attributes:
        late_part: Worth of a late response.
        held: Loss from an unserved request, per multiple of the objective that it waited.
        again: Loss from a retry that is not served.
        tiers: Worth of one request by tier; 1 for tiers not listed.
    """

    late_part: float
    held: float
    again: float
    tiers: Mapping[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class AttemptCounts:
    """Attempts of callers, added up over entries.

    Attributes:
        tries: Number of attempts by outcome.
        held: Time that unserved attempts waited, in multiples of their objective, by
            outcome.
        left_out: Log lines that were dropped, at least; their attempts are missing here.
        problems: Descriptions of input that could not be read.
    """

    tries: dict[OutcomeKey, float] = field(default_factory=dict)
    held: dict[OutcomeKey, float] = field(default_factory=dict)
    left_out: int = 0
    problems: list[str] = field(default_factory=list)

    def add(self, outcome_key: OutcomeKey, attempts: float, held: float) -> None:
        """Add attempts with the same outcome."""
        self.tries[outcome_key] = self.tries.get(outcome_key, 0.0) + attempts
        self.held[outcome_key] = self.held.get(outcome_key, 0.0) + held

    def merge(self, other: AttemptCounts) -> None:
        """Add the counts and problems of another object."""
        for outcome_key, attempts in other.tries.items():
            self.add(outcome_key, attempts, other.held.get(outcome_key, 0.0))
        self.left_out += other.left_out
        self.problems += other.problems

    @property
    def is_partial(self) -> bool:
        """Whether the counts are known to be incomplete."""
        return bool(self.left_out or self.problems)


@dataclass(slots=True)
class RouteWorth:
    """How well the callers of one route were served.

    Attributes:
        route: Name of the route.
        tier: Tier of the route.
        owed: First attempts, without those that callers aborted or made invalid themselves.
        returned: Retries.
        in_time: Attempts served in time, counted from the caller's first attempt.
        late_first: Served attempts whose first event was late.
        late_gap: Served attempts with too long a gap between two events.
        unserved: Attempts that were not served, by reason.
        held: Time that these waited, in multiples of the objective.
        again: Retries among the unserved attempts.
    """

    route: str
    tier: int
    owed: float = 0.0
    returned: float = 0.0
    in_time: float = 0.0
    late_first: float = 0.0
    late_gap: float = 0.0
    unserved: dict[str, float] = field(default_factory=dict)
    held: float = 0.0
    again: float = 0.0

    @property
    def answered(self) -> float:
        """Share of the owed requests that were served, in time or late."""
        served = self.in_time + self.late_first + self.late_gap
        return served / max(self.owed, 1.0)

    def losses(self, prices: Prices) -> dict[str, float]:
        """Return the losses per owed request, by cause."""
        owed = max(self.owed, 1.0)
        late = self.late_first + self.late_gap
        not_served = max(self.owed - self.in_time - late, 0.0)
        return {
            "late first event": self.late_first * (1 - prices.late_part) / owed,
            "pause": self.late_gap * (1 - prices.late_part) / owed,
            "not served": not_served / owed,
            "held in vain": self.held * prices.held / owed,
            "failed again": self.again * prices.again / owed,
        }

    def worth(self, prices: Prices) -> float:
        """Return the worth; 1 if every owed request was served in time."""
        late = self.late_first + self.late_gap
        gained = self.in_time + late * prices.late_part
        lost = self.held * prices.held + self.again * prices.again
        return (gained - lost) / max(self.owed, 1.0)


def worth_by_route(counts: AttemptCounts) -> list[RouteWorth]:
    """Return the worth of each route, the highest tier first."""
    routes: dict[tuple[int, str], RouteWorth] = {}
    for outcome_key, attempts in counts.tries.items():
        key = (outcome_key.tier, outcome_key.route)
        row = routes.setdefault(key, RouteWorth(outcome_key.route, outcome_key.tier))
        _add_attempts(row, outcome_key, attempts, counts.held.get(outcome_key, 0.0))
    return [routes[key] for key in sorted(routes)]


def _add_attempts(
    row: RouteWorth, outcome_key: OutcomeKey, attempts: float, held: float
) -> None:
    if outcome_key.reason in CALLER_FAULT_REASONS or outcome_key.outcome is Outcome.LEFT:
        return
    if outcome_key.is_retry:
        row.returned += attempts
    else:
        row.owed += attempts
    if outcome_key.outcome is Outcome.IN_TIME:
        row.in_time += attempts
    elif outcome_key.outcome is Outcome.LATE_FIRST:
        row.late_first += attempts
    elif outcome_key.outcome is Outcome.LATE_GAP:
        row.late_gap += attempts
    else:
        reason = outcome_key.reason or outcome_key.outcome.value
        row.unserved[reason] = row.unserved.get(reason, 0.0) + attempts
        row.held += held
        row.again += attempts if outcome_key.is_retry else 0.0


def total_worth(rows: Iterable[RouteWorth], prices: Prices) -> float:
    """Return the mean worth of all routes, weighted by tier and owed requests."""
    weighted = [(row, row.owed * prices.tiers.get(row.tier, 1.0)) for row in rows]
    owed = sum(weight for _, weight in weighted)
    gained = sum(row.worth(prices) * weight for row, weight in weighted)
    return gained / owed if owed else 0.0
