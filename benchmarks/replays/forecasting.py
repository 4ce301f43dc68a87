"""Replays overload with callers that state lengths, with and without the slot forecast.

For each pattern it prints how far the forecast and the last second's rate were off from the
slots that tiers really got, and how callers were served with each of them.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from statistics import mean, pstdev

import click

from dockreach.direct.jobs import Decision, Placed
from dockreach.direct.pressure import Rank
from dockreach.verdict import Reason

from .fleet import Replay, Request, SimulatedEntry
from .patterns import KINDS, SERVICE, Burst, EngineChange, LoadPattern, RequestKind

SPANS_S = (0.25, 0.5, 1.0, 3.0)
SAMPLE_INTERVAL_S = 0.05
ENTRIES = 4
ENGINES = 12

LATE_REFUSAL_S = 0.25
"""Waiting time, in seconds, from which a refusal counts as late."""


@dataclass(frozen=True, slots=True)
class OverloadPattern:
    """A load pattern, with engines that become slower.

    Attributes:
        slow_from_s: Time at which they become slower.
        slow_fraction: Fraction of the engines that do.
        slowdown: Factor on their times.
    """

    load: LoadPattern
    slow_from_s: float = 0.0
    slow_fraction: float = 0.0
    slowdown: float = 1.0


def _load(
    name: str,
    *,
    load: float = 1.25,
    bursts: tuple[Burst, ...] = (),
    changes: tuple[EngineChange, ...] = (),
) -> LoadPattern:
    return LoadPattern(
        name, 12.0, load=load, time_factors=(1.0,), bursts=bursts, changes=changes
    )


PATTERNS = (
    OverloadPattern(_load("surge to 1.7 times for 3 s", bursts=(Burst(5, 8, 1.7),))),
    OverloadPattern(_load("surge of one tier", bursts=(Burst(5, 8, 2.5, "chat"),))),
    OverloadPattern(_load("a third of the engines 3 times slower"), 5.0, 1 / 3, 3.0),
    OverloadPattern(_load("a fifth of the engines stop", changes=(EngineChange(5, -0.2),))),
)


@dataclass(frozen=True, slots=True)
class Sample:
    """What was expected for a tier at one moment, and for how long it had jobs waiting.

    Attributes:
        forecast: Slots by the forecast, for each of `SPANS_S`.
        by_rate: Slots by the last second's rate, for each of `SPANS_S`.
    """

    at: float
    rank: Rank
    has_waiting: bool
    forecast: tuple[float, ...] | None
    by_rate: tuple[float, ...] | None


@dataclass(slots=True)
class Errors:
    """Differences between expected slots and those that a tier got."""

    forecast: list[float] = field(default_factory=list)
    by_rate: list[float] = field(default_factory=list)
    got: list[int] = field(default_factory=list)


class ForecastEntry(SimulatedEntry):
    """An entry that records its decisions."""

    def _apply_decision(self, decision: Decision, now: float) -> None:
        replay = self.replay
        assert isinstance(replay, ForecastReplay)
        job = decision.job
        if isinstance(decision, Placed):
            replay.assigned.append((now, job.rank))
        else:
            replay.record_refusal(
                job.route.name, decision.refusal.reason, now - job.arrived_at
            )
        super()._apply_decision(decision, now)

    def sample(self, now: float) -> Iterator[Sample]:
        """Yield what this entry expects for each tier."""
        dispatcher = self.dispatcher
        waiting = {job.rank for job in dispatcher._waiting.get(SERVICE, [])}
        for kind in KINDS:
            rank = (0, kind.tier)
            forecast, by_rate = (
                [source.expected_slots(SERVICE, rank, span, now) for span in SPANS_S]
                for source in (dispatcher._slot_forecast, dispatcher._pressure)
            )
            yield Sample(now, rank, rank in waiting, _known(forecast), _known(by_rate))


class ForecastReplay(Replay):
    """Replay in which callers state lengths that are off by up to a factor of two.

    Args:
        pattern: The load and the changes of the engines.
        seed: Seed of arrivals, lengths, estimates, delays and losses.
        has_estimates: Whether entries use the estimates for a forecast.
        entries: Number of entries.
        engines: Number of engines at the start.

    Attributes:
        assigned: Time and tier of each slot that a job got.
        refused: Refusals by kind of request and reason.
        refused_late: Those after a wait of more than `LATE_REFUSAL_S`, by kind.
        samples: What the coordinator expected.
    """

    entry_class = ForecastEntry

    def __init__(
        self,
        pattern: OverloadPattern,
        *,
        seed: int,
        has_estimates: bool,
        entries: int = ENTRIES,
        engines: int = ENGINES,
    ) -> None:
        super().__init__(pattern.load, entries=entries, engines=engines, seed=seed)
        self._overload = pattern
        self._has_estimates = has_estimates
        self._estimate_rng = random.Random(f"estimates/{seed}")
        self.assigned: list[tuple[float, Rank]] = []
        self.refused: Counter[tuple[str, Reason]] = Counter()
        self.refused_late: Counter[str] = Counter()
        self.samples: list[Sample] = []
        start = self.clock.now
        if pattern.slow_fraction:
            self.clock.call_at(start + pattern.slow_from_s, self._slow_down)
        for step in range(int(pattern.load.length_s / SAMPLE_INTERVAL_S)):
            self.clock.call_at(start + step * SAMPLE_INTERVAL_S, self._take_samples)

    def new_request(
        self, kind: RequestKind, tokens: int, events: int, now: float
    ) -> Request:
        """Return a request whose estimated length is right in the median."""
        expected = events * 2 ** self._estimate_rng.uniform(-1, 1)
        return Request(kind, tokens, events, now, expected, self._has_estimates)

    def record_refusal(self, kind: str, reason: Reason, waited_s: float) -> None:
        """Count a refusal."""
        self.refused[kind, reason] += 1
        self.refused_late[kind] += waited_s > LATE_REFUSAL_S

    def _slow_down(self, now: float) -> None:
        del now
        engines = list(self.engines.values())
        for engine in engines[: round(self._overload.slow_fraction * len(engines))]:
            engine.time_factor *= self._overload.slowdown

    def _take_samples(self, now: float) -> None:
        for entry in self.entries:
            if entry.slot_server.has_clients(SERVICE):
                assert isinstance(entry, ForecastEntry)
                self.samples.extend(entry.sample(now))

    def errors(self, span_index: int) -> Errors:
        """Return the errors for one of `SPANS_S`, where a tier could use all its slots.

        That is where it had jobs waiting all the time.
        """
        span_s = SPANS_S[span_index]
        errors = Errors()
        for kind in KINDS:
            rank = (0, kind.tier)
            of_rank = [sample for sample in self.samples if sample.rank == rank]
            times = [at for at, assigned_rank in self.assigned if assigned_rank == rank]
            for number, sample in enumerate(of_rank):
                during = of_rank[number : number + round(span_s / SAMPLE_INTERVAL_S) + 1]
                is_backlogged = all(other.has_waiting for other in during)
                is_whole = during[-1].at >= sample.at + span_s - SAMPLE_INTERVAL_S / 2
                if not (is_backlogged and is_whole):
                    continue
                if sample.forecast is None or sample.by_rate is None:
                    continue
                got = sum(sample.at < at <= sample.at + span_s for at in times)
                errors.got.append(got)
                errors.forecast.append(sample.forecast[span_index] - got)
                errors.by_rate.append(sample.by_rate[span_index] - got)
        return errors


def _known(values: list[float | None]) -> tuple[float, ...] | None:
    known = tuple(value for value in values if value is not None)
    return known if len(known) == len(values) else None


def mean_absolute(errors: list[float]) -> float:
    """Return the mean absolute error; 0 without any."""
    return mean(abs(error) for error in errors) if errors else 0.0


def _print_errors(replays: list[ForecastReplay]) -> None:
    for index, span_s in enumerate(SPANS_S):
        per_replay = [replay.errors(index) for replay in replays]
        forecast = [error for errors in per_replay for error in errors.forecast]
        by_rate = [error for errors in per_replay for error in errors.by_rate]
        got = [count for errors in per_replay for count in errors.got]
        if not got:
            click.echo(f"  {span_s:4.2f} s: no tier had jobs waiting for so long")
            continue
        click.echo(
            f"  {span_s:4.2f} s: n {len(got):5d}  got {mean(got):5.1f}"
            + "".join(
                f"  {name} {mean(values):+6.1f} (spread {pstdev(values):5.1f},"
                f" absolute {mean_absolute(values):5.1f})"
                for name, values in (("forecast", forecast), ("rate", by_rate))
            )
        )


def _print_service(name: str, replays: list[ForecastReplay]) -> None:
    parts = []
    for kind in KINDS:
        sent = sum(replay.totals.sent[kind.name] for replay in replays)
        counts = (
            sum(replay.totals.in_time[kind.name] for replay in replays),
            sum(replay.totals.late[kind.name] for replay in replays),
            sum(replay.refused[kind.name, Reason.HOPELESS] for replay in replays),
            sum(replay.refused_late[kind.name] for replay in replays),
        )
        shares = " / ".join(f"{count / sent:.3f}" for count in counts)
        parts.append(f"{kind.name} {shares}")
    answered = mean(replay.totals.share_answered(*KINDS) for replay in replays)
    click.echo(f"  {name:6s} answered {answered:.4f}  " + "   ".join(parts))


@click.command()
@click.option("--seeds", default=5, help="Replays of each pattern.")
def main(*, seeds: int) -> None:
    """Print errors of the expected slots, and how callers were served."""
    click.echo("shares of requests: in time / late / rejected early / refused late")
    for pattern in PATTERNS:
        click.echo(pattern.load.name)
        before, after = (
            [
                ForecastReplay(pattern, seed=seed, has_estimates=has_estimates)
                for seed in range(1, seeds + 1)
            ]
            for has_estimates in (False, True)
        )
        for replay in (*before, *after):
            replay.run()
        _print_errors(after)
        _print_service("before", before)
        _print_service("after", after)


if __name__ == "__main__":
    main()
