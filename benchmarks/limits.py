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
LOAD_FACTOR = 6.0
"""Requests that callers send for each one that the endpoint accepts."""

ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5.0
ENDPOINT_SLOTS = 1000


class LimitPolicy(enum.StrEnum):
    """How the entries keep a rate limit."""

    PER_ENTRY = "each entry keeps to it by itself"
    EQUAL_SHARES = "each entry takes its part"
    COORDINATOR = "one entry gives out all places"


class LimitResult(NamedTuple):
    """The requests that an endpoint received.

    Attributes:
        requests_per_s: Mean requests per second.
        worst_window: Most requests in any window, as a fraction of what the rule allows.
    """

    requests_per_s: float
    worst_window: float


class _SimulatedEntry:
    def __init__(self, number: int, entries: int, policy: LimitPolicy) -> None:
        peers = PeerTable(_address(number), ())
        if policy is LimitPolicy.EQUAL_SHARES:
            peers.seeds = tuple(_address(other) for other in range(entries))
        coordinators = CoordinatorSelector(
            peers,
            capacity=1.0,
            started_at=-100.0,
            is_independent=policy is LimitPolicy.EQUAL_SHARES,
        )
        self.table = EndpointTable()
        published = Published(
            "e", "work", "10.1.0.1:80", "hall", ENDPOINT_SLOTS, leaving=False
        )
        self.table.publish(published, 0.0)
        self.send_guard = SendGuard(coordinators, self.table, rng=random.Random(number))

    @property
    def row(self) -> EndpointRow:
        """The only endpoint."""
        (row,) = self.table
        return row


def _address(number: int) -> Address:
    return Address(f"10.0.{number // 250}.{number % 250 + 1}", 7600)


def simulate(policy: LimitPolicy, entries: int, rate: float, seed: int) -> LimitResult:
    """Simulate one policy; all entries know the limit from the start."""
    rng = random.Random(seed)
    shares = [1 / (number + 1) for number in range(entries)]
    all_entries = [_SimulatedEntry(number, entries, policy) for number in range(entries)]
    for entry in all_entries:
        entry.row.advertised.limit.apply(LimitReport(rate, -0.1, 0.0))
    times = []
    for step in range(round(LENGTH_S / STEP_S)):
        now = step * STEP_S
        if rng.random() > LOAD_FACTOR * rate * STEP_S:
            continue
        (entry,) = rng.choices(all_entries, shares)
        if policy is LimitPolicy.COORDINATOR:
            entry = all_entries[0]
        if entry.send_guard.send_block(entry.row, now) is None:
            entry.send_guard.record_send(entry.row, now)
            times.append(now)
    worst = max(sum(at <= when < at + WINDOW_S for when in times) for at in times)
    return LimitResult(
        len(times) / LENGTH_S, worst / (ALLOWED_FACTOR * rate * WINDOW_S + ALLOWED_SLACK)
    )


@click.command()
@click.option("--seeds", default=3, help="Simulations of each row, with the same seeds.")
def main(seeds: int) -> None:
    """Print the accepted and the received rate of an endpoint, and the worst window."""
    click.echo(
        "| policy | entries | limit/s | received/s | worst window |\n|---|---|---|---|---|"
    )
    for policy in LimitPolicy:
        for entries, rate in ((5, 1.0), (28, 1.0), (5, 6.0), (28, 6.0)):
            results = [simulate(policy, entries, rate, seed) for seed in range(seeds)]
            received = sum(result.requests_per_s for result in results) / seeds
            worst = max(result.worst_window for result in results)
            click.echo(
                f"| {policy} | {entries} | {rate:.0f} | {received:.2f} | {worst:.2f} |"
            )


if __name__ == "__main__":
    main()
