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
SOUND_A_S = 14.0
"""Harmless requests per second."""
RUN_S = (0.3, 6.0)
"""Shortest and longest run of a harmless request, in seconds."""
READ_S = 0.15
"""Time from sending a request to its first event, in seconds."""
EVENT_GAP_S = 0.04
"""Time between events, in seconds."""
DEADLY_GAP_S = 1.1
CRASH_S = 0.1
"""Time from sending the deadly request to the crash of the engine, in seconds."""
DOWN_S = 3.0
DAY_S = 200.0
TRIES = 2
"""Attempts that the caller of a harmless request makes."""
HOT_PART = 0.1
"""Fraction of the harmless requests that are copies of one popular request."""
DEADLY = b"deadly"
HOT = b"hot"
SEEDS = 40


@dataclass(frozen=True)
class Way:
    """One policy for quarantining requests."""

    name: str
    most_runs: int
    suspects_all: bool = False
    sound_s: float = min(HARMLESS_RUN_S, HARMLESS_EVENTS * EVENT_GAP_S)
    has_trials: bool = True


@dataclass
class _Engine:
    lives: int = 0
    up_at: float = 0.0
    runs: dict[int, tuple[bytes, float, int]] = field(default_factory=dict)


@dataclass
class Found:
    """Results of one day."""

    ended: int = 0
    cut: int = 0
    barred: int = 0


class Day:
    """One simulated day of load."""

    def __init__(
        self, policy: Way, seed: int, unrelated_crash_s: float, full_crash_s: float
    ) -> None:
        self._way = policy
        self._rng = random.Random(seed)
        self._other_ends_s = unrelated_crash_s
        self._whole_s = full_crash_s
        self._now = 0.0
        self._crashers = RequestQuarantine(
            lambda: self._now, lambda _: policy.has_trials, max_runs=policy.most_runs
        )
        self._engines = [_Engine() for _ in range(ENGINES)]
        self._todo: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.found = Found()

    def _at(self, time_s: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._todo, (time_s, next(self._numbers), call))

    def run(self) -> Found:
        """Simulate the day and return its results."""
        self._at(1.0, self._deadly)
        self._at(0.0, self._sound)
        self._at(self._rng.expovariate(1 / self._other_ends_s), self._other_end)
        self._at(self._whole_s, self._whole_end)
        while self._todo:
            self._now, _, call = heapq.heappop(self._todo)
            if self._now > DAY_S:
                break
            call()
        return self.found

    def _deadly(self) -> None:
        self._send(DEADLY, 0)
        self._at(self._now + DEADLY_GAP_S, self._deadly)

    def _sound(self) -> None:
        is_hot = self._rng.random() < HOT_PART
        name = HOT if is_hot else next(self._numbers).to_bytes(8)
        self._send(name, TRIES)
        self._at(self._now + self._rng.expovariate(SOUND_A_S), self._sound)

    def _send(self, name: bytes, attempts_left: int) -> None:
        if self._crashers.admit(name) in (Admission.QUARANTINED, Admission.SERIALIZED):
            self.found.barred += name != DEADLY
            return
        up = [engine for engine in self._engines if engine.up_at <= self._now]
        if not up:
            return
        engine = min(up, key=lambda row: len(row.runs))
        number = next(self._numbers)
        engine.runs[number] = (name, self._now, attempts_left)
        if name == DEADLY:
            incarnation = engine.lives
            self._at(self._now + CRASH_S, lambda: self._crash(engine, incarnation))
        else:
            end = self._now + self._rng.uniform(*RUN_S)
            self._at(end, lambda: self._answer(engine, number))

    def _answer(self, engine: _Engine, number: int) -> None:
        run = engine.runs.pop(number, None)
        if run is not None:
            self._crashers.record_completion(run[0])

    def _crash(self, engine: _Engine, incarnation: int) -> None:
        if engine.lives == incarnation:
            self.found.ended += 1
            self._end(engine)

    def _other_end(self) -> None:
        self._end(self._rng.choice(self._engines))
        self._at(self._now + self._rng.expovariate(1 / self._other_ends_s), self._other_end)

    def _whole_end(self) -> None:
        for engine in self._engines:
            self._end(engine)
        self._at(self._now + self._whole_s, self._whole_end)

    def _end(self, engine: _Engine) -> None:
        incarnation = f"{id(engine)}/{engine.lives}"
        engine.lives += 1
        engine.up_at = self._now + DOWN_S
        runs, engine.runs = engine.runs, {}
        for name, sent_at, attempts_left in runs.values():
            is_short = self._now - sent_at < READ_S + self._way.sound_s
            if is_short or self._way.suspects_all:
                self._crashers.record_crash(
                    name, incarnation, sent_at=sent_at, crashed_at=self._now
                )
            if name != DEADLY:
                self.found.cut += 1
                if attempts_left > 1:
                    self._send(name, attempts_left - 1)


WAYS = (
    Way("never quarantined", 10**6),
    Way("two runs, short ones count", 2),
    Way("three runs, short ones count", 3),
    Way("two runs, those below 1 s count", 2, sound_s=HARMLESS_RUN_S),
    Way("two runs, short ones, no probe", 2, has_trials=False),
    Way("three runs, short ones, no probe", 3, has_trials=False),
    Way("two runs, all runs count", 2, suspects_all=True),
    Way("three runs, all runs count", 3, suspects_all=True),
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
        for policy in WAYS:
            days = [Day(policy, seed, unrelated_s, full_s).run() for seed in range(seeds)]
            crashes = sum(day.ended for day in days) / seeds
            cut = sum(day.cut for day in days) / seeds
            quarantined = sum(day.barred for day in days) / seeds
            click.echo(
                f"  {policy.name:36} crashes {crashes:5.1f}"
                f"  harmless attempts cut {cut:6.1f}  quarantined {quarantined:6.2f}"
            )


if __name__ == "__main__":
    main()
