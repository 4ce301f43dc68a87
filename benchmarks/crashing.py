"""How many ends of engines make a request one that is not run: ways, with the same seeds.

Cores alone: a load of sound requests at engines that end for other reasons too, and one
request that comes again and again and ends each engine that begins it. Run by hand:
``python -m benchmarks.crashing``.
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
"""Sound requests a second."""
RUN_S = (0.3, 6.0)
"""Shortest and longest run of a sound request, in seconds."""
READ_S = 0.15
"""Time from a send to the first event, in seconds."""
EVENT_GAP_S = 0.04
"""Time between events, in seconds."""
DEADLY_GAP_S = 1.1
CRASH_S = 0.1
"""Time from a send to the end of the engine, in seconds."""
DOWN_S = 3.0
DAY_S = 200.0
TRIES = 2
"""How often the caller of a sound request asks."""
HOT_PART = 0.1
"""Part of the sound requests that are one request, asked for all the time."""
DEADLY = b"deadly"
HOT = b"hot"
SEEDS = 40


@dataclass(frozen=True)
class Way:
    """One way to decide."""

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
    """What one day showed."""

    ended: int = 0
    cut: int = 0
    barred: int = 0


class Day:
    """One day of load."""

    def __init__(self, way: Way, seed: int, other_ends_s: float, whole_s: float) -> None:
        self._way = way
        self._rng = random.Random(seed)
        self._other_ends_s = other_ends_s
        self._whole_s = whole_s
        self._now = 0.0
        self._crashers = RequestQuarantine(
            lambda: self._now, lambda _: way.has_trials, max_runs=way.most_runs
        )
        self._engines = [_Engine() for _ in range(ENGINES)]
        self._todo: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.found = Found()

    def _at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._todo, (when, next(self._numbers), act))

    def run(self) -> Found:
        """Play the day."""
        self._at(1.0, self._deadly)
        self._at(0.0, self._sound)
        self._at(self._rng.expovariate(1 / self._other_ends_s), self._other_end)
        self._at(self._whole_s, self._whole_end)
        while self._todo:
            self._now, _, act = heapq.heappop(self._todo)
            if self._now > DAY_S:
                break
            act()
        return self.found

    def _deadly(self) -> None:
        self._send(DEADLY, 0)
        self._at(self._now + DEADLY_GAP_S, self._deadly)

    def _sound(self) -> None:
        is_hot = self._rng.random() < HOT_PART
        name = HOT if is_hot else next(self._numbers).to_bytes(8)
        self._send(name, TRIES)
        self._at(self._now + self._rng.expovariate(SOUND_A_S), self._sound)

    def _send(self, name: bytes, tries: int) -> None:
        if self._crashers.admit(name) in (Admission.QUARANTINED, Admission.SERIALIZED):
            self.found.barred += name != DEADLY
            return
        up = [engine for engine in self._engines if engine.up_at <= self._now]
        if not up:
            return
        engine = min(up, key=lambda row: len(row.runs))
        number = next(self._numbers)
        engine.runs[number] = (name, self._now, tries)
        if name == DEADLY:
            lives = engine.lives
            self._at(self._now + CRASH_S, lambda: self._crash(engine, lives))
        else:
            end = self._now + self._rng.uniform(*RUN_S)
            self._at(end, lambda: self._answer(engine, number))

    def _answer(self, engine: _Engine, number: int) -> None:
        run = engine.runs.pop(number, None)
        if run is not None:
            self._crashers.record_completion(run[0])

    def _crash(self, engine: _Engine, lives: int) -> None:
        if engine.lives == lives:
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
        life = f"{id(engine)}/{engine.lives}"
        engine.lives += 1
        engine.up_at = self._now + DOWN_S
        runs, engine.runs = engine.runs, {}
        for name, sent, tries in runs.values():
            is_young = self._now - sent < READ_S + self._way.sound_s
            if is_young or self._way.suspects_all:
                self._crashers.record_crash(name, life, sent_at=sent, crashed_at=self._now)
            if name != DEADLY:
                self.found.cut += 1
                if tries > 1:
                    self._send(name, tries - 1)


WAYS = (
    Way("never barred", 10**6),
    Way("two runs, young runs suspected", 2),
    Way("three runs, young runs suspected", 3),
    Way("two runs, runs below 1 s suspected", 2, sound_s=HARMLESS_RUN_S),
    Way("two runs, young, no trial", 2, has_trials=False),
    Way("three runs, young, no trial", 3, has_trials=False),
    Way("two runs, all runs suspected", 2, suspects_all=True),
    Way("three runs, all runs suspected", 3, suspects_all=True),
)


@click.command()
@click.option("--seeds", default=SEEDS)
def main(seeds: int) -> None:
    """Print what each way costs, a day of 200 s."""
    for text, other_s, whole_s in (
        ("engines end for no other reason", 1e9, 1e9),
        ("an engine ends every 4 s besides, all of them every 17 s", 4.0, 17.0),
    ):
        click.echo(text)
        for way in WAYS:
            days = [Day(way, seed, other_s, whole_s).run() for seed in range(seeds)]
            ended = sum(day.ended for day in days) / seeds
            cut = sum(day.cut for day in days) / seeds
            barred = sum(day.barred for day in days) / seeds
            click.echo(
                f"  {way.name:36} ended {ended:5.1f}  sound tries cut {cut:6.1f}"
                f"  sound tries barred {barred:6.2f}"
            )


if __name__ == "__main__":
    main()
