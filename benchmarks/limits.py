"""Compares ways to keep an endpoint's rate limit across entries, without sockets.

Run it with ``python -m benchmarks.limits``. Each entry has callers of its own, as
unevenly distributed as on the platform, who send more than the endpoint accepts.
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
"""Requests that callers send for each one that the endpoint accepts."""

OVER = 1.5
SLACK = 5.0
ALL_SLOTS = 1000


class Way(enum.StrEnum):
    """How the entries keep a rate limit."""

    ALONE = "each entry keeps to it by itself"
    PARTS = "each entry takes its part"
    COORDINATOR = "one entry gives out all places"


class Result(NamedTuple):
    """The requests that an endpoint received.

    Attributes:
        per_s: Mean requests per second.
        worst: Most requests in any window, as a fraction of what the rule allows.
    """

    per_s: float
    worst: float


class _Entry:
    def __init__(self, number: int, entries: int, policy: Way) -> None:
        peers = PeerTable(_address(number), ())
        if policy is Way.PARTS:
            peers.seeds = tuple(_address(other) for other in range(entries))
        coordinators = CoordinatorSelector(
            peers, capacity=1.0, started_at=-100.0, is_independent=policy is Way.PARTS
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


def play(policy: Way, entries: int, rate: float, seed: int) -> Result:
    """Simulate one policy; all entries know the limit from the start."""
    rng = random.Random(seed)
    shares = [1 / (number + 1) for number in range(entries)]
    cores = [_Entry(number, entries, policy) for number in range(entries)]
    for core in cores:
        core.row.advertised.limit.apply(LimitReport(rate, -0.1, 0.0))
    times = []
    for step in range(round(LENGTH_S / STEP_S)):
        now = step * STEP_S
        if rng.random() > PRESSURE * rate * STEP_S:
            continue
        (core,) = rng.choices(cores, shares)
        if policy is Way.COORDINATOR:
            core = cores[0]
        if core.guard.send_block(core.row, now) is None:
            core.guard.record_send(core.row, now)
            times.append(now)
    worst = max(sum(at <= when < at + WINDOW_S for when in times) for at in times)
    return Result(len(times) / LENGTH_S, worst / (OVER * rate * WINDOW_S + SLACK))


@click.command()
@click.option("--seeds", default=3, help="Simulations of each row, with the same seeds.")
def main(seeds: int) -> None:
    """Print the accepted and the received rate of an endpoint, and the worst window."""
    click.echo(
        "| policy | entries | limit/s | received/s | worst window |\n|---|---|---|---|---|"
    )
    for policy in Way:
        for entries, rate in ((5, 1.0), (28, 1.0), (5, 6.0), (28, 6.0)):
            results = [play(policy, entries, rate, seed) for seed in range(seeds)]
            received = sum(result.per_s for result in results) / seeds
            worst = max(result.worst for result in results)
            click.echo(
                f"| {policy} | {entries} | {rate:.0f} | {received:.2f} | {worst:.2f} |"
            )


if __name__ == "__main__":
    main()
