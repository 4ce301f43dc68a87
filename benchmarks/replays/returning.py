"""Replays an overload in which callers wait for different times and return once.

Prints, for each seed and in the mean, which requests were answered in time, how early the
others were refused, and which retries were answered in time.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field
from statistics import mean

import click

from dockreach.direct.first_attempts import FirstAttemptEstimator
from dockreach.direct.jobs import Job, queue_timeout_s

from .fleet import Replay, Request, SimulatedEntry
from .patterns import Burst, LoadPattern, RequestKind

DEADLINE_SPREAD = 0.15
"""By which fraction callers' deadlines differ from the mean, either way."""

HONOURED_FRACTION = 1 / 3
"""Fraction of the time left up to which callers honour Retry-After."""

EARLY_OBJECTIVES = 1 / 8
"""A request is refused late if it was held for longer than this, in objectives."""

QUICK_OBJECTIVES = 1 / 4
"""A retry counts from its own arrival if the request was refused within this time."""

OVERLOAD = LoadPattern(
    "overload with returning callers",
    length_s=16.0,
    bursts=(Burst(3, 8, 1.9),),
)


@dataclass(slots=True)
class ReturningRequest(Request):
    """A request whose caller has a deadline of its own.

    Attributes:
        deadline: Time at which the caller gives up, in seconds.
        fingerprint: The same for both attempts.
        sent_at: Time of the current attempt, in seconds.
        counts_anew: Whether the retry counts from its own arrival, for half.
        entry: The entry of the current attempt.
    """

    deadline: float = math.inf
    fingerprint: bytes = b""
    sent_at: float = 0.0
    counts_anew: bool = False
    entry: SimulatedEntry | None = None


@dataclass(slots=True)
class ReturningTotals:
    """Counts of a replay.

    Attributes:
        held: How long each refused attempt was held, in objectives.
        misjudged: First attempts that were taken for retries at their arrival.
    """

    sent: int = 0
    in_time: int = 0
    retries: int = 0
    retries_in_time: int = 0
    misjudged: int = 0
    held: list[float] = field(default_factory=list)
    first_held: list[float] = field(default_factory=list)
    by_tier: Counter[str] = field(default_factory=Counter)

    @property
    def share_in_time(self) -> float:
        """Share of the requests that were answered in time at the first attempt."""
        return self.in_time / max(self.sent, 1)

    @property
    def share_refused_quickly(self) -> float:
        """Share of the refused attempts that were held for a quarter objective at most."""
        quick = sum(held <= QUICK_OBJECTIVES for held in self.held)
        return quick / max(len(self.held), 1)

    @property
    def worth(self) -> float:
        """Requests answered in time, and half of the retries, as a share of all."""
        return (self.in_time + self.retries_in_time / 2) / max(self.sent, 1)

    def row(self) -> str:
        """Return the figures as a row of a table."""
        early = sum(held <= EARLY_OBJECTIVES for held in self.held)
        return (
            f"| {self.sent} | {self.share_in_time:.3f} | {early} "
            f"| {len(self.held) - early} | {self.share_refused_quickly:.3f} "
            f"| {self.retries} | {self.retries_in_time} | {self.misjudged} "
            f"| {self.worth:.3f} |"
        )


class ReturningEntry(SimulatedEntry):
    """An entry that knows the caller's remaining time only, as a real one does."""

    def __init__(self, replay: Replay, number: int) -> None:
        super().__init__(replay, number)
        self.first_attempts = FirstAttemptEstimator()
        self._attempts = 0

    def make_job(self, req: Request, now: float) -> Job:
        """Return the job of a caller's request."""
        assert isinstance(req, ReturningRequest)
        assert isinstance(self.replay, ReturningReplay)
        route = self.replay.routes[req.kind.name]
        left_s = req.deadline - now
        age_s = self.first_attempts.first_attempt_age_s(route.name, left_s)
        self.replay.returned.misjudged += age_s > 0 and req.may_retry
        req.sent_at = now
        req.entry = self
        self._attempts += 1
        return Job(
            rid=f"{self.address.ip}-{self._attempts}",
            route=route,
            service="work",
            rank=(0, route.tier),
            prompt_tokens=req.tokens,
            expected_events=float(req.events),
            prefix=(),
            arrived_at=now,
            queue_deadline=now + queue_timeout_s(route, left_s),
            deadline=req.deadline,
            estimated_first_attempt_at=now - age_s,
            retry_key=req.fingerprint,
            is_length_estimated=True,
            caller_deadline=req.deadline,
        )


class ReturningReplay(Replay):
    """Replay in which callers differ and return once, at another entry."""

    entry_class = ReturningEntry

    def __init__(self, *, seed: int, entries: int = 6, engines: int = 12) -> None:
        self.returned = ReturningTotals()
        self._callers = random.Random(f"callers/{seed}")
        super().__init__(OVERLOAD, entries=entries, engines=engines, seed=seed)

    def new_request(
        self, kind: RequestKind, tokens: int, events: int, now: float
    ) -> Request:
        """Return the request of a caller that arrives."""
        self.returned.sent += 1
        factor = self._callers.uniform(1 - DEADLINE_SPREAD, 1 + DEADLINE_SPREAD)
        return ReturningRequest(
            kind,
            tokens,
            events,
            now,
            expected_events=float(events),
            deadline=now + kind.deadline_s * factor,
            fingerprint=self.returned.sent.to_bytes(8),
        )

    def handle_refusal(self, req: Request, retry_after_s: float | None, now: float) -> None:
        """Let a caller retry once at another entry if it honours Retry-After."""
        assert isinstance(req, ReturningRequest)
        held = (now - req.sent_at) / req.kind.objective_s
        self.returned.held.append(held)
        if not req.may_retry or retry_after_s is None:
            return
        self.returned.first_held.append(held)
        if retry_after_s > (req.deadline - now) * HONOURED_FRACTION:
            return
        req.may_retry = False
        req.counts_anew = held <= QUICK_OBJECTIVES
        self.returned.retries += 1
        entry = self._callers.choice([one for one in self.entries if one is not req.entry])
        self.clock.call_at(now + retry_after_s, lambda at: entry.submit(req, at))

    def record_end(self, req: Request, first_at: float | None) -> None:
        """Count a request that was sent to an engine."""
        assert isinstance(req, ReturningRequest)
        if first_at is None:
            return
        objective_s = req.kind.objective_s
        if first_at - req.first_attempt_at <= objective_s:
            self.returned.in_time += 1
            self.returned.by_tier[req.kind.name] += 1
        elif req.counts_anew and first_at - req.sent_at <= objective_s:
            self.returned.retries_in_time += 1

    def replay(self) -> ReturningTotals:
        """Run the replay and return its totals."""
        self.run()
        return self.returned


HEADER = (
    "| seed | sent | in time | refused early | refused late | within a quarter | retries "
    "| retries in time | misjudged | worth |\n|" + "---|" * 10
)


@click.command()
@click.option("--seeds", default=5, help="Number of replays.")
def main(*, seeds: int) -> None:
    """Print a table with a row for each seed, and the means."""
    click.echo(HEADER)
    rows = [ReturningReplay(seed=seed).replay() for seed in range(1, seeds + 1)]
    for seed, totals in enumerate(rows, 1):
        click.echo(f"| {seed} {totals.row()} {dict(totals.by_tier)}")
    click.echo(
        f"mean: in time {mean(row.share_in_time for row in rows):.4f}, "
        f"refused within a quarter {mean(row.share_refused_quickly for row in rows):.4f}, "
        f"retries in time {mean(row.retries_in_time for row in rows):.1f}, "
        f"worth {mean(row.worth for row in rows):.4f}"
    )


if __name__ == "__main__":
    main()
