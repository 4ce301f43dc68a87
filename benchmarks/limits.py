"""Ways to keep an endpoint's limit over all entries, cores alone: ``-m benchmarks.limits``.

Each entry has callers of its own, as unevenly as on the platform, who ask for more than the
endpoint takes.
"""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

import click

from dockreach.direct.advertised_state import LimitReport
from dockreach.direct.coordinator_selection import CoordinatorSelector
from dockreach.direct.digest import Address
from dockreach.direct.endpoints import EndpointRow, EndpointTable, Published
from dockreach.direct.peers import PeerTable
from dockreach.direct.send_guard import SendGuard

LENGTH_S = 60.0
WINDOW_S = 4.0
STEP_S = 0.02
PRESSURE = 6.0
"""Requests a second for each that the endpoint takes."""

OVER = 1.5
SLACK = 5.0
ALL_SLOTS = 1000


class Way(enum.StrEnum):
    """How a limit is kept."""

    ALONE = "each entry keeps to it by itself"
    PARTS = "each entry takes its part"
    COORDINATOR = "one entry gives out all places"


class Result(NamedTuple):
    """What an endpoint got.

    Attributes:
        per_s: Requests a second.
        worst: The most in a window, as a part of what the rule allows.
    """

    per_s: float
    worst: float


class _Entry:
    def __init__(self, number: int, entries: int, way: Way) -> None:
        peers = PeerTable(_address(number), ())
        if way is Way.PARTS:
            peers.seeds = tuple(_address(other) for other in range(entries))
        coordinators = CoordinatorSelector(
            peers, capacity=1.0, started_at=-100.0, is_independent=way is Way.PARTS
        )
        self.table = EndpointTable()
        entry = Published("e", "work", "10.1.0.1:80", "hall", ALL_SLOTS, leaving=False)
        self.table.publish(entry, 0.0)
        self.guard = SendGuard(coordinators, self.table, rng=random.Random(number))

    @property
    def row(self) -> EndpointRow:
        """The endpoint."""
        (row,) = self.table
        return row


def _address(number: int) -> Address:
    return Address(f"10.0.{number // 250}.{number % 250 + 1}", 7600)


def play(way: Way, entries: int, rate: float, seed: int) -> Result:
    """Play one way; all entries know the limit from the start."""
    rng = random.Random(seed)
    shares = [1 / (number + 1) for number in range(entries)]
    cores = [_Entry(number, entries, way) for number in range(entries)]
    for core in cores:
        core.row.advertised.limit.apply(LimitReport(rate, -0.1, 0.0))
    times = []
    for step in range(round(LENGTH_S / STEP_S)):
        now = step * STEP_S
        if rng.random() > PRESSURE * rate * STEP_S:
            continue
        (core,) = rng.choices(cores, shares)
        if way is Way.COORDINATOR:
            core = cores[0]
        if core.guard.send_block(core.row, now) is None:
            core.guard.record_send(core.row, now)
            times.append(now)
    worst = max(sum(at <= when < at + WINDOW_S for when in times) for at in times)
    return Result(len(times) / LENGTH_S, worst / (OVER * rate * WINDOW_S + SLACK))


@click.command()
@click.option("--seeds", default=3, help="Plays of each, from the same seeds.")
def main(seeds: int) -> None:
    """Print what an endpoint gets of what it takes, and the worst window."""
    click.echo("| way | entries | takes | gets | worst window |\n|---|---|---|---|---|")
    for way in Way:
        for entries, rate in ((5, 1.0), (28, 1.0), (5, 6.0), (28, 6.0)):
            found = [play(way, entries, rate, seed) for seed in range(seeds)]
            gets = sum(result.per_s for result in found) / seeds
            worst = max(result.worst for result in found)
            click.echo(f"| {way} | {entries} | {rate:.0f} | {gets:.2f} | {worst:.2f} |")


if __name__ == "__main__":
    main()
