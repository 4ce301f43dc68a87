"""Measures the overhead of an entry and its agents: first-token time, CPU time per token.

Paired in one run: the same requests go to the engine stand-ins directly, and through
one entry and its agents. CPU time is read from the daemons' own metrics.
"""

from __future__ import annotations

from dockreach import _green

_green.install(with_asyncio=False)

import json  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any, NamedTuple  # noqa: E402

import click  # noqa: E402

from dockreach.launching import (  # noqa: E402
    Deployment,
    EndpointSpec,
    FleetSpec,
    OrganisationSpec,
)
from dockreach.load import LoadGenerator, Outcome, RequestKind, percentile  # noqa: E402

RESULTS = Path("docs/results")
ENGINES = 6
LOAD_S = 10.0


class Figures(NamedTuple):
    """Results of one load sent through one entry, and of the same load sent directly."""

    requests_per_s: float
    tokens_per_s: float
    direct_p50_ms: float
    direct_p95_ms: float
    through_p50_ms: float
    through_p95_ms: float
    entry_cores: float
    agents_cores: float
    entry_us_per_token: float
    agent_us_per_token: float
    whole: int
    sent: int


def fleet() -> FleetSpec:
    """Return a fleet of fast engines with so many slots that no request queues."""
    engines = [
        EndpointSpec(
            f"engine{index}", "models", slots=64, prefill_rate=100_000.0, gap_ms=20.0
        )
        for index in range(ENGINES)
    ]
    return FleetSpec(
        endpoints=engines,
        organisations=[OrganisationSpec("org", "bulletin")],
        entries=[("entry1", "hall1")],
        models={"m": "models"},
    )


def measure(deployment: Deployment, rate: float, tokens: int) -> Figures:
    """Send one load directly and through the entry."""
    kind = RequestKind("k", 1.0, "org", "bulletin", 100, tokens, deadline_s=60.0)
    engines = [row.url for row in deployment.engines.values()]
    direct = LoadGenerator(engines, [kind]).run([(LOAD_S, rate)])
    before = _cpu_seconds(deployment)
    entries = [row.url for row in deployment.entries.values()]
    through = LoadGenerator(entries, [kind]).run([(LOAD_S, rate)])
    after = _cpu_seconds(deployment)
    tokens_received = sum(row.is_complete for row in through) * tokens
    span_s = max(row.sent_at + row.total_s for row in through)
    entry_s = after["entry"] - before["entry"]
    agents_s = after["agent"] - before["agent"]
    return Figures(
        requests_per_s=len(through) / span_s,
        tokens_per_s=tokens_received / span_s,
        direct_p50_ms=_first_token_ms(direct, 0.5),
        direct_p95_ms=_first_token_ms(direct, 0.95),
        through_p50_ms=_first_token_ms(through, 0.5),
        through_p95_ms=_first_token_ms(through, 0.95),
        entry_cores=entry_s / span_s,
        agents_cores=agents_s / span_s,
        entry_us_per_token=1e6 * entry_s / max(1, tokens_received),
        agent_us_per_token=1e6 * agents_s / max(1, tokens_received),
        whole=sum(row.is_complete for row in through),
        sent=len(through),
    )


def _first_token_ms(rows: list[Outcome], fraction: float) -> float:
    values = [row.first_token_s for row in rows if row.first_token_s is not None]
    return round(1000 * percentile(values, fraction), 1)


def _cpu_seconds(deployment: Deployment) -> dict[str, float]:
    name = "dockreach_cpu_seconds_total"
    return {
        "entry": sum(deployment.metric(row, name) for row in deployment.entries.values()),
        "agent": sum(deployment.metric(row, name) for row in deployment.agents.values()),
    }


LOADS = ((5.0, 100), (15.0, 100), (30.0, 100), (30.0, 200))
"""Pairs of requests per second and tokens of each request."""


@click.command()
@click.option("--keep", is_flag=True, help="Write the results under docs/results.")
def main(keep: bool) -> None:
    """Measure each load and print the results."""
    results: list[dict[str, Any]] = []
    for rate, tokens in LOADS:
        with Deployment(fleet()) as deployment:
            figures = measure(deployment, rate, tokens)
        results.append(figures._asdict())
        click.echo(f"{rate}/s of {tokens} tokens: {figures}")
    if keep:
        RESULTS.mkdir(parents=True, exist_ok=True)
        path = RESULTS / "overhead.json"
        path.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
