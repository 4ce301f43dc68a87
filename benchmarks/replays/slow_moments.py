"""Replays engines that are slow for moments, and that report it or whose report is ignored.

Run it with ``python -m benchmarks.replays.slow_moments``.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import click

from dockreach.direct.endpoints import EventGapMeter, Published
from dockreach.direct.jobs import Decision, Placed
from dockreach.direct.requests import ReportedLoad
from dockreach.direct.slot_messages import SampleKind
from dockreach.direct.stalls import Stalls

from .engine import Engine, Run
from .fleet import ENDPOINT_DELAY_S, Replay, Request, SimulatedEntry
from .patterns import SERVICE, LoadPattern, RequestKind

NO_STALLS = Stalls(lambda: 0.0)
"""Stalls of a simulated entry, which never stands still."""

ENGINES = 28
SLOTS = 5
PREFILL_PER_TOKEN_S = 1 / 64_200
EVENT_S = 5 * 0.00423
"""Time to prefill a prompt token, and for a step that gives an event of five tokens to each
stream, in seconds, of an engine with time factor 1."""

MOMENT_S = 0.6
SLOW_FRACTION = 0.15
SLOW_FACTOR = 2.5
"""Length of a moment in seconds, fraction of slow ones, and factor on times in these."""

KINDS = (
    RequestKind("draft", 0, 44.6 / ENGINES, 3780, 24, 0.863, 0.25, 10.792),
    RequestKind("brief", 1, 21.8 / ENGINES, 2950, 10, 0.645, 0.25, 6.446),
    RequestKind("chat", 2, 86.9 / ENGINES, 1170, 34, 0.426, 0.25, 12.785),
)
"""The checkout assistants' streams, as in docs/design/hard-load.md."""


@dataclass(slots=True)
class Stream(Run):
    """A request whose events are sent one by one.

    Attributes:
        on_head: Called with the load when the head of the response is sent.
        on_event: Called at each event.
        sent_events: Events that were sent so far.
    """

    on_head: Callable[[float, ReportedLoad], None]
    on_event: Callable[[float], None]
    sent_events: int = 0


@dataclass(slots=True)
class SharedEngine(Engine):
    """An engine that works in steps and shares its machine with other programs.

    A step prefills one prompt at most and then gives one event to each stream.

    Attributes:
        seed: Seed of the slow moments.
    """

    seed: str = ""
    _moments: list[bool] = field(default_factory=list)
    _rng: random.Random = field(default_factory=random.Random)
    _is_stepping: bool = False

    def __post_init__(self) -> None:
        """Seed the slow moments."""
        self._rng.seed(self.seed)

    def _slowness(self, now: float) -> float:
        index = int(now / MOMENT_S)
        while len(self._moments) <= index:
            self._moments.append(self._rng.random() < SLOW_FRACTION)
        return SLOW_FACTOR if self._moments[index] else 1.0

    def _end_of(self, work_s: float, now: float) -> float:
        """Return when work ends that takes some time at the usual speed, in seconds."""
        while True:
            slowness = self._slowness(now)
            next_moment = (int(now / MOMENT_S) + 1) * MOMENT_S + 1e-9
            if now + work_s * slowness <= next_moment:
                return now + work_s * slowness
            work_s -= (next_moment - now) / slowness
            now = next_moment

    def _start_runs(self, now: float) -> None:
        while self.queue and len(self.running) < self.slots:
            run = self.queue.popleft()
            self.running.append(run)
            if isinstance(run, Stream):
                percent = round(100 * self._slowness(now))
                load = ReportedLoad(len(self.running), len(self.queue), SLOTS, percent)
                run.on_head(now, load)
        if self.running and not self._is_stepping:
            self._is_stepping = True
            self._start_step(now)

    def _start_step(self, now: float) -> None:
        streams = [run for run in self.running if isinstance(run, Stream)]
        new = [run for run in streams if not run.sent_events][:1]
        work_s = EVENT_S + sum(run.tokens for run in new) * PREFILL_PER_TOKEN_S
        stepped = [run for run in streams if run.sent_events] + new

        def end_step(at: float) -> None:
            for run in stepped:
                self._send_event(run, at)
            self._is_stepping = False
            self._start_runs(at)

        self.call_at(self._end_of(work_s * self.time_factor, now), end_step)

    def _send_event(self, run: Stream, now: float) -> None:
        if run not in self.running:
            return
        run.sent_events += 1
        if run.sent_events == 1:
            run.on_first(now)
        run.on_event(now)
        if run.sent_events >= run.events:
            self.running.remove(run)
            run.on_end(now, True)


class LoadAwareEntry(SimulatedEntry):
    """An entry that uses the loads that engines report, unless the replay ignores them."""

    replay: MomentReplay

    def _apply_decision(self, decision: Decision, now: float) -> None:
        if not isinstance(decision, Placed):
            super()._apply_decision(decision, now)
            return
        job, row = decision.job, decision.endpoint
        req: Request = self._waiting.pop(id(job))
        replay = self.replay
        pace = EventGapMeter(row)
        event_times: list[float] = []

        def on_head(at: float, load: ReportedLoad) -> None:
            if not replay.uses_loads:
                return
            self.endpoints.record_load(row, load, at)
            delay_s = self.slot_client.record_load(row, at)
            if delay_s is not None:
                replay.clock.call_at(at + delay_s, self._send_due)

        def on_first(at: float) -> None:
            if job.found_free_slot:
                tokens = job.prefill_ahead + job.prefill_tokens
                percent = row.load.mean_percent(now, at)
                row.record_measurement(SampleKind.FIRST_EVENT, at - now, tokens, percent)
            job.end_prefill()
            self.slot_client.record_prefill_end(job)
            self._send_due(at)

        def on_event(at: float) -> None:
            job.events += 1
            pace.count(1, at, NO_STALLS)
            event_times.append(at)

        def on_end(at: float, is_complete: bool) -> None:
            self.dispatcher.release_slot(job)
            self.slot_client.drop(job)
            replay.count_response(req, event_times, is_complete=is_complete)
            replay.clock.call_at(at, self.run_round)

        run = Stream(req.tokens, req.events, on_first, on_end, on_head, on_event)
        engine = replay.engines[row.id]
        replay.clock.call_at(now + ENDPOINT_DELAY_S, lambda at: engine.submit(run, at))


class MomentReplay(Replay):
    """Replay of engines that are slow for moments.

    Args:
        pattern: The load and the time factors of the engines.
        entries: Number of entries.
        seed: Seed of arrivals, lengths, delays and slow moments.
        uses_loads: Whether entries use the loads that engines report.

    Attributes:
        long_gaps: Streams with a gap beyond the objective, by kind.
    """

    entry_class: type[SimulatedEntry] = LoadAwareEntry

    def __init__(
        self, pattern: LoadPattern, *, entries: int, seed: int, uses_loads: bool
    ) -> None:
        self.uses_loads = uses_loads
        self.long_gaps: Counter[str] = Counter()
        super().__init__(pattern, entries=entries, engines=ENGINES, seed=seed, kinds=KINDS)

    def count_response(
        self, req: Request, event_times: list[float], *, is_complete: bool
    ) -> None:
        """Count a response, and whether it had a gap beyond the objective."""
        kind = req.kind
        totals = self.totals
        if not is_complete:
            totals.cut[kind.name] += 1
        elif event_times[0] - req.first_attempt_at <= kind.objective_s:
            totals.in_time[kind.name] += 1
        else:
            totals.late[kind.name] += 1
        pairs = zip(event_times, event_times[1:], strict=False)
        longest_s = max((after - before for before, after in pairs), default=0.0)
        self.long_gaps[kind.name] += longest_s > kind.gap_objective_s

    def _add_engine(self) -> None:
        number = len(self.engines)
        engine = SharedEngine(
            f"e-{number}",
            SLOTS,
            self.pattern.time_factors[number % len(self.pattern.time_factors)],
            self.clock.call_at,
            seed=f"{self.seed}/{number}",
        )
        self.engines[engine.id] = engine
        address = f"10.1.0.{number}:80"
        record = Published(engine.id, SERVICE, address, "hall", SLOTS, leaving=False)
        for entry in self.entries:
            entry.endpoints.publish(record)


def moments_pattern(load: float, length_s: float = 12.0) -> LoadPattern:
    """Return a pattern in which a third of the engines is three times slower for good."""
    return LoadPattern(
        f"load {load}", length_s=length_s, load=load, time_factors=(1.0, 1.0, 3.0)
    )


@click.command()
@click.option("--seeds", default=4, help="Replays for each row.")
@click.option("--entries", default=30)
@click.option("--loads", multiple=True, type=float, default=(0.6, 0.8, 1.0))
def main(*, seeds: int, entries: int, loads: tuple[float, ...]) -> None:
    """Print a table that compares ignored figures with figures that are used."""
    click.echo(
        "| load | figure | in time: draft brief chat | all in time | refused | late "
        "| gaps beyond the objective: draft brief chat |\n|---|---|---|---|---|---|---|"
    )
    for load in loads:
        for uses_loads in (False, True):
            sent: Counter[str] = Counter()
            in_time: Counter[str] = Counter()
            gaps: Counter[str] = Counter()
            refused = late = 0
            for seed in range(1, seeds + 1):
                replay = MomentReplay(
                    moments_pattern(load), entries=entries, seed=seed, uses_loads=uses_loads
                )
                totals = replay.run()
                sent += totals.sent
                in_time += totals.in_time
                gaps += replay.long_gaps
                refused += totals.refused.total()
                late += totals.late.total()
            shares = " ".join(
                f"{in_time[kind.name] / sent[kind.name]:.3f}" for kind in KINDS
            )
            long_gaps = " ".join(str(gaps[kind.name]) for kind in KINDS)
            click.echo(
                f"| {load} | {'used' if uses_loads else 'ignored'} | {shares} "
                f"| {in_time.total() / sent.total():.4f} | {refused / sent.total():.3f} "
                f"| {late / sent.total():.3f} | {long_gaps} |"
            )


if __name__ == "__main__":
    main()
