"""Compares policies that quarantine a request after crashes, with the same seeds.

Without sockets: a load of harmless requests at engines that also crash for other reasons,
and one deadly request that is sent repeatedly and crashes each engine that starts it.
Run by hand: ``python -m benchmarks.crashing``.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import click

from dockreach.direct.quarantine import (
    HARMLESS_EVENTS,
    HARMLESS_RUN_S,
    Admission,
    RequestQuarantine,
)

ENGINES = 6
HARMLESS_PER_S = 14.0
"""Harmless requests per second."""
RUN_RANGE_S = (0.3, 6.0)
"""Shortest and longest run of a harmless request, in seconds."""
FIRST_EVENT_S = 0.15
"""Time from sending a request to its first event, in seconds."""
EVENT_INTERVAL_S = 0.04
"""Time between events, in seconds."""
DEADLY_INTERVAL_S = 1.1
CRASH_DELAY_S = 0.1
"""Time from sending the deadly request to the crash of the engine, in seconds."""
RESTART_S = 3.0
DAY_S = 200.0
MAX_ATTEMPTS = 2
"""Attempts that the caller of a harmless request makes."""
HOT_FRACTION = 0.1
"""Fraction of the harmless requests that are copies of one popular request."""
DEADLY = b"deadly"
HOT = b"hot"
SEEDS = 40


@dataclass(frozen=True)
class QuarantinePolicy:
    """One policy for quarantining requests."""

    name: str
    max_runs: int
    counts_all_runs: bool = False
    harmless_s: float = min(HARMLESS_RUN_S, HARMLESS_EVENTS * EVENT_INTERVAL_S)
    has_probes: bool = True


@dataclass
class _Engine:
    incarnation: int = 0
    up_at: float = 0.0
    runs: dict[int, tuple[bytes, float, int]] = field(default_factory=dict)


@dataclass
class DayResult:
    """Results of one day."""

    crashes: int = 0
    cut_attempts: int = 0
    quarantined: int = 0


class SimulatedDay:
    """One simulated day of load."""

    def __init__(
        self,
        policy: QuarantinePolicy,
        seed: int,
        unrelated_crash_s: float,
        full_crash_s: float,
    ) -> None:
        self._policy = policy
        self._rng = random.Random(seed)
        self._unrelated_crash_s = unrelated_crash_s
        self._full_crash_s = full_crash_s
        self._now = 0.0
        self._quarantine = RequestQuarantine(
            lambda: self._now, lambda _: policy.has_probes, max_runs=policy.max_runs
        )
        self._engines = [_Engine() for _ in range(ENGINES)]
        self._pending_calls: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.result = DayResult()

    def _call_at(self, time_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._pending_calls, (time_s, next(self._numbers), call))

    def run(self) -> DayResult:
        """Simulate the day and return its results."""
        self._call_at(1.0, self._send_deadly)
        self._call_at(0.0, self._send_harmless)
        self._call_at(self._rng.expovariate(1 / self._unrelated_crash_s), self._crash_one)
        self._call_at(self._full_crash_s, self._crash_all)
        while self._pending_calls:
            self._now, _, call = heapq.heappop(self._pending_calls)
            if self._now > DAY_S:
                break
            call()
        return self.result

    def _send_deadly(self) -> None:
        self._send(DEADLY, 0)
        self._call_at(self._now + DEADLY_INTERVAL_S, self._send_deadly)

    def _send_harmless(self) -> None:
        is_hot = self._rng.random() < HOT_FRACTION
        name = HOT if is_hot else next(self._numbers).to_bytes(8)
        self._send(name, MAX_ATTEMPTS)
        self._call_at(
            self._now + self._rng.expovariate(HARMLESS_PER_S), self._send_harmless
        )

    def _send(self, name: bytes, attempts_left: int) -> None:
        if self._quarantine.admit(name) in (Admission.QUARANTINED, Admission.SERIALIZED):
            self.result.quarantined += name != DEADLY
            return
        up = [engine for engine in self._engines if engine.up_at <= self._now]
        if not up:
            return
        engine = min(up, key=lambda row: len(row.runs))
        number = next(self._numbers)
        engine.runs[number] = (name, self._now, attempts_left)
        if name == DEADLY:
            incarnation = engine.incarnation
            self._call_at(
                self._now + CRASH_DELAY_S,
                lambda: self._crash_on_deadly(engine, incarnation),
            )
        else:
            end = self._now + self._rng.uniform(*RUN_RANGE_S)
            self._call_at(end, lambda: self._complete(engine, number))

    def _complete(self, engine: _Engine, number: int) -> None:
        run = engine.runs.pop(number, None)
        if run is not None:
            self._quarantine.record_completion(run[0])

    def _crash_on_deadly(self, engine: _Engine, incarnation: int) -> None:
        if engine.incarnation == incarnation:
            self.result.crashes += 1
            self._crash_engine(engine)

    def _crash_one(self) -> None:
        self._crash_engine(self._rng.choice(self._engines))
        self._call_at(
            self._now + self._rng.expovariate(1 / self._unrelated_crash_s), self._crash_one
        )

    def _crash_all(self) -> None:
        for engine in self._engines:
            self._crash_engine(engine)
        self._call_at(self._now + self._full_crash_s, self._crash_all)

    def _crash_engine(self, engine: _Engine) -> None:
        incarnation = f"{id(engine)}/{engine.incarnation}"
        engine.incarnation += 1
        engine.up_at = self._now + RESTART_S
        runs, engine.runs = engine.runs, {}
        for name, sent_at, attempts_left in runs.values():
            is_short = self._now - sent_at < FIRST_EVENT_S + self._policy.harmless_s
            if is_short or self._policy.counts_all_runs:
                self._quarantine.record_crash(
                    name, incarnation, sent_at=sent_at, crashed_at=self._now
                )
            if name != DEADLY:
                self.result.cut_attempts += 1
                if attempts_left > 1:
                    self._send(name, attempts_left - 1)


POLICIES = (
    QuarantinePolicy("never quarantined", 10**6),
    QuarantinePolicy("two runs, short ones count", 2),
    QuarantinePolicy("three runs, short ones count", 3),
    QuarantinePolicy("two runs, those below 1 s count", 2, harmless_s=HARMLESS_RUN_S),
    QuarantinePolicy("two runs, short ones, no probe", 2, has_probes=False),
    QuarantinePolicy("three runs, short ones, no probe", 3, has_probes=False),
    QuarantinePolicy("two runs, all runs count", 2, counts_all_runs=True),
    QuarantinePolicy("three runs, all runs count", 3, counts_all_runs=True),
)


@click.command()
@click.option("--seeds", default=SEEDS)
def main(seeds: int) -> None:
    """Print the costs of each policy in a day of 200 s."""
    for title, unrelated_s, full_s in (
        ("engines crash for no other reason", 1e9, 1e9),
        ("besides, an engine crashes every 4 s, and all of them every 17 s", 4.0, 17.0),
    ):
        click.echo(title)
        for policy in POLICIES:
            days = [
                SimulatedDay(policy, seed, unrelated_s, full_s).run()
                for seed in range(seeds)
            ]
            crashes = sum(day.crashes for day in days) / seeds
            cut = sum(day.cut_attempts for day in days) / seeds
            quarantined = sum(day.quarantined for day in days) / seeds
            click.echo(
                f"  {policy.name:36} crashes {crashes:5.1f}"
                f"  harmless attempts cut {cut:6.1f}  quarantined {quarantined:6.2f}"
            )


if __name__ == "__main__":
    main()
