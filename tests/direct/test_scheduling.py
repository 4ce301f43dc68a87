"""How often an entry goes over all that waits."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace

import pytest

from dockreach.direct import scheduling
from dockreach.direct.asking import Asker
from dockreach.direct.coordinators import Coordinators
from dockreach.direct.granting import Granter
from dockreach.direct.jobs import Decision
from dockreach.direct.scheduling import PAUSE_FACTOR, Scheduler

from .cores import OWN, dispatcher, endpoints, peers

LONG_S = 0.004
STEP_S = 0.0002


class World:
    """A clock, timers that are called when due, and a dispatcher that takes time."""

    def __init__(self, round_s: float) -> None:
        self.now = 100.0
        self.rounds: list[float] = []
        self._round_s = round_s
        self._timers: list[tuple[float, Callable[[], None]]] = []

    def spawn_after(self, seconds: float, call: Callable[[], None]) -> None:
        self._timers.append((self.now + seconds, call))

    def pump(self, now: float) -> list[Decision]:
        """Decide nothing, for a while."""
        self.rounds.append(now)
        self.now += self._round_s
        return []

    def pass_time(self, seconds: float) -> None:
        """Let time pass and call timers that are due."""
        self.now += seconds
        due = [call for when, call in self._timers if when <= self.now]
        self._timers = [timer for timer in self._timers if timer[0] > self.now]
        for call in due:
            call()


def scheduler(world: World, monkeypatch: pytest.MonkeyPatch) -> Scheduler:
    clock = SimpleNamespace(now=lambda: world.now)
    monkeypatch.setattr(scheduling, "clock", clock)
    monkeypatch.setattr(scheduling, "eventlet", world)
    table = endpoints(1)
    coordinators = Coordinators(peers(), capacity=1.0, started=0.0)
    return Scheduler(
        world,  # type: ignore[arg-type]
        Asker(OWN, 1, coordinators, table),
        Granter(OWN, dispatcher(table), table, lambda _: None),
        lambda *_: None,
        lambda: None,
    )


def test_long_rounds_take_a_part_of_the_time_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """Engines of 6 places had up to 44 requests in a burst of three times the usual load.

    The entry that gave out the places went over all that waited at each event, more than
    its core could do. Others took it for silent, and several gave the same places.
    """
    world = World(LONG_S)
    core = scheduler(world, monkeypatch)
    end = world.now + 0.2
    while world.now < end:
        core.pump()
        world.pass_time(STEP_S)
    most = 0.2 / (LONG_S * (1 + PAUSE_FACTOR)) + 1
    assert most - 2 <= len(world.rounds) <= most


def test_what_comes_in_the_pause_is_decided_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = World(LONG_S)
    core = scheduler(world, monkeypatch)
    core.pump()
    for _ in range(3):
        core.pump()
    assert len(world.rounds) == 1
    world.pass_time(0.9 * LONG_S * PAUSE_FACTOR)
    assert len(world.rounds) == 1
    world.pass_time(0.2 * LONG_S * PAUSE_FACTOR)
    assert len(world.rounds) == 2


def test_short_rounds_are_run_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    world = World(0.0)
    core = scheduler(world, monkeypatch)
    for _ in range(5):
        core.pump()
    assert len(world.rounds) == 5
