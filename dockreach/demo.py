"""Demo: sends a mixed load to a fleet on loopback and prints a table of the outcomes."""

from __future__ import annotations

from . import _green

_green.install(with_asyncio=False)

import sys  # noqa: E402
from collections.abc import Sequence  # noqa: E402

import click  # noqa: E402
from rich.console import Console  # noqa: E402
from rich.progress import Progress  # noqa: E402
from rich.table import Table  # noqa: E402

from .launching import Deployment, process_exists  # noqa: E402
from .load import LoadGenerator, Outcome, percentile  # noqa: E402
from .profiles import PROFILES  # noqa: E402

SECONDS = 10.0


def outcome_table(outcomes: Sequence[Outcome], title: str) -> Table:
    """Return a table of outcomes with one row for each tier."""
    table = Table(title=title)
    for heading in ("tier", "sent", "whole", "in time", "refused", "p50 ms", "p95 ms"):
        table.add_column(heading, justify="left" if heading == "tier" else "right")
    for tier in sorted({row.tier for row in outcomes}):
        rows = [row for row in outcomes if row.tier == tier]
        first = [row.first_token_s for row in rows if row.first_token_s is not None]
        table.add_row(
            tier,
            str(len(rows)),
            str(sum(row.is_complete for row in rows)),
            str(sum(row.is_in_time for row in rows)),
            str(sum(row.status != 200 for row in rows)),
            f"{1000 * percentile(first, 0.5):.0f}",
            f"{1000 * percentile(first, 0.95):.0f}",
        )
    return table


def wasted_prefill(deployment: Deployment) -> tuple[int, int]:
    """Return the prefilled tokens of requests that did not complete, and of all."""
    wasted = total = 0
    for log in deployment.run_logs().values():
        for row in log.values():
            if isinstance(row, int):
                continue
            total += row["prefilled"]
            wasted += 0 if row["ended"] == "whole" else row["prefilled"]
    return wasted, total


def second_runs(deployment: Deployment) -> int:
    """Return how many request ids were dispatched to engines more than once."""
    seen: dict[str, int] = {}
    for log in deployment.run_logs().values():
        for rid, row in log.items():
            count = row if isinstance(row, int) else row["dispatched"]
            seen[rid] = seen.get(rid, 0) + count
    return sum(count > 1 for count in seen.values())


@click.command()
@click.option("--profile", type=click.Choice(list(PROFILES)), default="small")
@click.option("--seconds", default=SECONDS, help="Duration of the load.")
def main(profile: str, seconds: float) -> None:
    """Start a fleet of stand-ins and daemons, send a load, and print the outcome."""
    console = Console()
    chosen = PROFILES[profile]()
    count = len(chosen.fleet.endpoints)
    console.print(f"starting {len(chosen.fleet.entries)} entries and {count} agents")
    deployment = Deployment(chosen.fleet)
    with deployment:
        processes = deployment.processes()
        urls = [row.url for row in deployment.entries.values()]
        with Progress(console=console) as progress:
            expected = int(seconds * chosen.calm_rate)
            task = progress.add_task("requests", total=expected)
            load = LoadGenerator(
                urls, chosen.kinds, progress=lambda: progress.advance(task)
            )
            outcomes = load.run([(seconds, chosen.calm_rate)])
            progress.update(task, total=len(outcomes), completed=len(outcomes))
        console.print(outcome_table(outcomes, f"{profile}: first token by tier"))
        wasted, total = wasted_prefill(deployment)
        repeated = second_runs(deployment)
    console.print(f"wasted prefill: {wasted} of {total} prompt tokens")
    console.print(f"requests run twice: {repeated}")
    left_over = [process.name for process in processes if process_exists(process.pid)]
    console.print(f"processes left behind: {len(left_over)}")
    complete = sum(row.is_complete for row in outcomes)
    sys.exit(0 if outcomes and complete and not repeated and not left_over else 1)


if __name__ == "__main__":
    main()
