"""Measures what a scheduling round costs, by waiting jobs and organisations.

No slot becomes free in these rounds, so that each job is ordered and checked and none
leaves the queue: as a coordinator's rounds are while a service is overloaded. Run it on an
earlier version to compare.
"""

from __future__ import annotations

import random
import time
from dataclasses import replace
from statistics import quantiles

import click

from dockreach.direct.dispatching import Dispatcher
from dockreach.direct.endpoint_selection import EndpointSelector, SelectionPolicy
from dockreach.direct.endpoints import EndpointTable, Published
from dockreach.direct.jobs import Job
from dockreach.direct.routing_config import Organisation

from .replays.patterns import KINDS, SERVICE

JOB_COUNTS = (300, 1000)
ORGANISATION_COUNTS = (16, 300)
ENDPOINTS = 28
SLOTS = 5
ROUNDS = 300
ROUND_INTERVAL_S = 0.002
START_S = 100.0


def measure_us(jobs: int, organisations: int, *, is_shared: bool) -> float:
    """Return the first decile of the durations of rounds with an arrival, in microseconds.

    Other programs on the machine lengthen single rounds.
    """
    rng = random.Random(jobs + organisations)
    dispatcher = _busy_dispatcher()
    if is_shared:
        dispatcher.apply_organisations(_organisations(organisations))
    for _ in range(jobs):
        dispatcher.submit(_job(rng, organisations, START_S - rng.uniform(0, 0.8)))
    dispatcher.run_round(START_S)
    durations = []
    for number in range(ROUNDS):
        now = START_S + ROUND_INTERVAL_S * (number + 1)
        job = _job(rng, organisations, now)
        started_at = time.process_time()
        dispatcher.submit(job)
        decisions = dispatcher.run_round(now)
        durations.append(time.process_time() - started_at)
        assert not decisions
        dispatcher.withdraw(job)
    return quantiles(durations, n=10)[0] * 1e6


def _busy_dispatcher() -> Dispatcher:
    table = EndpointTable()
    for number in range(ENDPOINTS):
        row = Published(f"e-{number}", SERVICE, "10.1.0.1:80", "hall", SLOTS, False)
        table.publish(row)
    table.set_in_flight_elsewhere({row.id: SLOTS + 1 for row in table})
    return Dispatcher(table, EndpointSelector(table, "hall", SelectionPolicy.MEASURED))


def _organisations(count: int) -> list[Organisation]:
    return [
        Organisation(f"org-{number}", frozenset(), None, 100.0 + number, 0.0, 0)
        for number in range(count)
    ]


def _organisation(rng: random.Random, count: int) -> str:
    """Return the sender of a job; a third of all are the largest organisation's."""
    return f"org-{0 if rng.random() < 1 / 3 else rng.randrange(count)}"


def _job(rng: random.Random, organisations: int, arrived_at: float) -> Job:
    kind = rng.choice(KINDS)
    return Job(
        rid="",
        route=replace(kind.route(), timeout_s=1000.0),
        service=SERVICE,
        rank=(kind.tier, kind.tier),
        prompt_tokens=int(rng.expovariate(1 / kind.prompt_tokens)),
        expected_events=kind.events,
        prefix=(),
        arrived_at=arrived_at,
        queue_deadline=arrived_at + 1000.0,
        deadline=arrived_at + 1000.0,
        organisation=_organisation(rng, organisations),
        is_admitted=True,
    )


@click.command()
def main() -> None:
    """Print a table of durations."""
    # Versions before fair shares have no weights to apply.
    modes = (False, True) if hasattr(Dispatcher, "apply_organisations") else (False,)
    click.echo("| jobs | organisations | shares | us for a round |\n|---|---|---|---|")
    for jobs in JOB_COUNTS:
        for organisations in ORGANISATION_COUNTS:
            for is_shared in modes:
                us = measure_us(jobs, organisations, is_shared=is_shared)
                shares = "yes" if is_shared else "no"
                click.echo(f"| {jobs} | {organisations} | {shares} | {us:.0f} |")


if __name__ == "__main__":
    main()
