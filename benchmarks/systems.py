"""The systems under comparison: dockreach and two baselines, on the same stand-ins."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from dockreach.launching import Deployment, FleetSpec, Process, read_port, wait_until

SYSTEMS = ("dockreach", "round-robin", "least-load")


class Target(NamedTuple):
    """A running system: the URLs for callers, and the deployment behind them."""

    urls: list[str]
    deployment: Deployment


@contextmanager
def running(system: str, fleet: FleetSpec) -> Iterator[Target]:
    """Run one system on a new fleet of stand-ins."""
    deployment = Deployment(fleet)
    baselines: list[Process] = []
    try:
        if system == "dockreach":
            deployment.start()
            front_ends = list(deployment.entries.values())
        else:
            deployment.start_stand_ins()
            baselines = [_start_baseline(system, deployment) for _ in fleet.entries]
            front_ends = baselines
        yield Target([row.url for row in front_ends], deployment)
    finally:
        for process in baselines:
            process.kill()
        deployment.stop()


def _start_baseline(policy: str, deployment: Deployment) -> Process:
    options = ["--ip", deployment.ip, "--policy", policy]
    for item in deployment.spec.endpoints:
        url = deployment.engines[item.name].url
        options += ["--worker" if item.kind == "service" else "--engine", url]
    process = deployment.spawn(policy, "benchmarks.baseline", options)
    wait_until(lambda: read_port(process), policy)
    return process
