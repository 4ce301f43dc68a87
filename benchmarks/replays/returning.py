"""Replays an overload in which callers wait for different times and return once.

Prints by tier which callers were answered before they gave up, and within the objective;
how long the others were held, which time to return they were told, and what became of those
who returned.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from statistics import mean

import click

from dockreach.direct.jobs import Job

from .fleet import Replay, Request, SimulatedEntry
from .patterns import KINDS, Burst, LoadPattern, RequestKind

DEADLINE_SPREAD = 0.15
"""By which fraction callers' deadlines differ from the mean, either way."""

HONOURED_FRACTION = 1 / 3
"""Fraction of the time left up to which callers honour Retry-After."""

PATTERNS = {
    "all": LoadPattern("1.9 times for 5 s", length_s=16.0, bursts=(Burst(3, 8, 1.9),)),
    "top": LoadPattern(
        "2.5 times the drafts for 5 s", length_s=16.0, bursts=(Burst(3, 8, 2.5, "draft"),)
    ),
    "low": LoadPattern(
        "2.5 times the chats for 8 s", length_s=16.0, bursts=(Burst(3, 11, 2.5, "chat"),)
    ),
}


@dataclass(slots=True)
class ReturningRequest(Request):
    """A request whose caller has a deadline of its own.

    Attributes:
        sent_at: Time of the current attempt, in seconds.
        entry: The entry of the current attempt.
    """

    sent_at: float = 0.0
    entry: SimulatedEntry | None = None


@dataclass(slots=True)
class TierTotals:
    """Counts of the requests of one kind.

    Attributes:
        answered: Those that were answered before the caller gave up.
        in_time: Those of them that were within the objective of their first attempt.
        returned: Callers that were refused and sent their request again.
        answered_returns: Those of them that were answered then.
        held_s: How long each refused attempt was held, in seconds.
        told_s: The times to return that callers were told, in seconds.
    """

    sent: int = 0
    answered: int = 0
    in_time: int = 0
    returned: int = 0
    answered_returns: int = 0
    held_s: list[float] = field(default_factory=list)
    told_s: list[float] = field(default_factory=list)

    @property
    def share_answered(self) -> float:
        """Share of the requests that were answered before the caller gave up."""
        return self.answered / max(self.sent, 1)

    def row(self) -> str:
        """Return the figures as a row of a table."""
        sent = max(self.sent, 1)
        held_s = mean(self.held_s) if self.held_s else 0.0
        told_s = mean(self.told_s) if self.told_s else 0.0
        return (
            f"| {self.sent} | {self.share_answered:.3f} | {self.in_time / sent:.3f} "
            f"| {len(self.held_s)} | {held_s:.2f} | {told_s:.2f} "
            f"| {self.returned} | {self.answered_returns} |"
        )


class ReturningEntry(SimulatedEntry):
    """An entry that knows the caller's remaining time, and nothing of earlier attempts."""

    def make_job(self, req: Request, now: float) -> Job:
        """Return the job of a caller's request."""
        assert isinstance(req, ReturningRequest)
        req.sent_at = now
        req.entry = self
        return super().make_job(req, now)


class ReturningReplay(Replay):
    """Replay in which callers differ and return once, at another entry."""

    entry_class = ReturningEntry

    def __init__(
        self, pattern: LoadPattern, *, seed: int, entries: int = 6, engines: int = 12
    ) -> None:
        self.by_kind = {kind.name: TierTotals() for kind in KINDS}
        self._callers = random.Random(f"callers/{seed}")
        super().__init__(pattern, entries=entries, engines=engines, seed=seed)

    def new_request(
        self, kind: RequestKind, tokens: int, events: int, now: float
    ) -> Request:
        """Return the request of a caller that arrives."""
        self.by_kind[kind.name].sent += 1
        factor = self._callers.uniform(1 - DEADLINE_SPREAD, 1 + DEADLINE_SPREAD)
        return ReturningRequest(
            kind,
            tokens,
            events,
            now,
            expected_events=float(events),
            is_length_estimated=True,
            deadline=now + kind.deadline_s * factor,
        )

    def handle_refusal(self, req: Request, retry_after_s: float | None, now: float) -> None:
        """Let a caller return once at another entry if it honours Retry-After."""
        assert isinstance(req, ReturningRequest)
        totals = self.by_kind[req.kind.name]
        totals.held_s.append(now - req.sent_at)
        if not req.may_retry or retry_after_s is None:
            return
        totals.told_s.append(retry_after_s)
        if retry_after_s > (req.gives_up_at - now) * HONOURED_FRACTION + 1e-6:
            return
        req.may_retry = False
        totals.returned += 1
        entry = self._callers.choice([one for one in self.entries if one is not req.entry])
        self.clock.call_at(now + retry_after_s, lambda at: entry.submit(req, at))

    def record_end(self, req: Request, first_at: float | None) -> None:
        """Count a request that was sent to an engine, and whose caller has not left."""
        if first_at is None:
            return
        totals = self.by_kind[req.kind.name]
        totals.answered += 1
        totals.in_time += first_at - req.first_attempt_at <= req.kind.objective_s
        totals.answered_returns += not req.may_retry


HEADER = (
    "| kind | sent | answered | within the objective | refused | held, s | told, s "
    "| returned | answered then |\n|" + "---|" * 9
)


@click.command()
@click.option("--seeds", default=3, help="Number of replays of each pattern.")
def main(*, seeds: int) -> None:
    """Print a table for each pattern, with the sums over the seeds."""
    for pattern in PATTERNS.values():
        replays = [ReturningReplay(pattern, seed=seed) for seed in range(1, seeds + 1)]
        for replay in replays:
            replay.run()
        click.echo(f"\n{pattern.name}\n\n{HEADER}")
        for kind in KINDS:
            total = TierTotals()
            for replay in replays:
                one = replay.by_kind[kind.name]
                for name in ("sent", "answered", "in_time", "returned", "answered_returns"):
                    setattr(total, name, getattr(total, name) + getattr(one, name))
                total.held_s += one.held_s
                total.told_s += one.told_s
            click.echo(f"| {kind.name} {total.row()}")


if __name__ == "__main__":
    main()
