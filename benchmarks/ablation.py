"""Runs days with one mechanism disabled at a time, paired with days with all enabled.

The customers' bench and their site files are given by path; neither is part of the
repository. CPU time is not charged, so that days can run in parallel.
"""

from __future__ import annotations

import itertools
import re
import shutil
import statistics
import subprocess
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import click

from .edited_copy import ROOT, Edit, copy_repository

RESULTS = ROOT / "docs/results/ablation.md"
DAYS = ("trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3")
ALL_ON = "all on"

MECHANISMS = (
    Edit(
        "slots reserved for higher tiers",
        "direct/tier_reserve.py",
        "        return max(min(needed, ",
        "        return 0 * max(min(needed, ",
    ),
    Edit(
        "one entry that grants all slots",
        "direct/entry_settings.py",
        "    is_coordinated: bool = True\n",
        "    is_coordinated: bool = False\n",
    ),
    Edit(
        "one request beyond the slots",
        "direct/endpoint_selection.py",
        "EXTRA_REQUESTS = 1\n",
        "EXTRA_REQUESTS = 0\n",
    ),
    Edit(
        "preference for engines that meet the deadline",
        "direct/endpoint_selection.py",
        "    return quick or rows",
        "    return rows",
    ),
    Edit(
        "cost of delaying running streams",
        "direct/endpoint_selection.py",
        "RUNNING_DELAY_WEIGHT = 0.25",
        "RUNNING_DELAY_WEIGHT = 0.0",
    ),
    Edit(
        "price of slots under load",
        "direct/endpoint_selection.py",
        "LOAD_SLOT_PRICE = 0.3",
        "LOAD_SLOT_PRICE = 0.0",
    ),
    Edit(
        "base price of a slot",
        "direct/endpoint_selection.py",
        "BASE_SLOT_PRICE = 0.1",
        "BASE_SLOT_PRICE = 0.0",
    ),
    Edit(
        "cached prompt prefixes",
        "direct/endpoints.py",
        "PREFIX_CACHED_S = 30.0",
        "PREFIX_CACHED_S = -1.0",
    ),
    Edit(
        "early rejection",
        "direct/dispatching.py",
        "        if chance is None or chance.is_real:",
        "        if True:",
    ),
    Edit(
        "least time to spare first",
        "direct/service_queue.py",
        "    return job.queue_deadline if math.isfinite(job.queue_deadline) else math.inf",
        "    return job.arrived_at if math.isfinite(job.arrived_at) else math.inf",
    ),
    Edit(
        "burst limit of quotas",
        "direct/token_quota.py",
        "        if not self._is_within_burst(organisation, buckets):",
        "        if False:",
    ),
    Edit(
        "quota reserve for higher tiers",
        "direct/token_quota.py",
        "TIER_RESERVE_FRACTION = 0.04",
        "TIER_RESERVE_FRACTION = 0.0",
    ),
    Edit(
        "estimate of unreported usage of peers",
        "direct/token_quota.py",
        "            unreported = self._estimate_unreported(buckets, now)\n",
        "            unreported = 0\n",
    ),
    Edit(
        "circuit breaker of endpoints",
        "direct/endpoints.py",
        "        self.circuit_open_until = now + wait",
        "        self.circuit_open_until = 0.0",
    ),
    Edit(
        "retries and resumes",
        "direct/context.py",
        "return self.retry_budget.try_acquire(service, self.entry_count, self.now())",
        "return False",
    ),
    Edit(
        "returns one after the other",
        "direct/return_times.py",
        "            insort(times, now + after_s)\n",
        "",
    ),
    Edit(
        "shares of engine time",
        "direct/fair_shares.py",
        "        return len(self._weights) >= MIN_ORGANISATIONS",
        "        return False",
    ),
    Edit(
        "forecast of slots",
        "direct/slot_forecast.py",
        "        if not forecast.is_valid:",
        "        if True:",
    ),
    Edit(
        "present load of endpoints",
        "direct/endpoint_load.py",
        "REPORT_VALID_S = 0.3",
        "REPORT_VALID_S = 1e-9",
    ),
    Edit(
        "data hall of the request",
        "direct/endpoint_selection.py",
        "        home = job.hall or self._hall",
        "        home = self._hall",
    ),
    Edit(
        "partial digests",
        "direct/entry.py",
        "            accepts_partial=True,\n",
        "            accepts_partial=False,\n",
    ),
)
"""Mechanisms that can be disabled. The usage assumed after all entries lost their state is
not among them: without it the rule QUOTA is broken."""


class DayRun(NamedTuple):
    """One day to run."""

    mechanism: str
    site: Path
    day: str
    seed: int


class DayResult(NamedTuple):
    """A day's value, and the rules that it broke, as the bench prints them."""

    run: DayRun
    value: float
    broken_rules: str


class Bench(NamedTuple):
    """The customers' bench, and the directory for copies of the repository."""

    program: Path
    work_directory: Path

    def run_day(self, day_run: DayRun) -> DayResult:
        """Run one day.

        Raises:
            click.ClickException: The bench printed no value for the day.
        """
        why = f"Ablation trial: without {day_run.mechanism}"
        if day_run.mechanism == ALL_ON:
            why = "Ablation trial: all on"
        done = subprocess.run(  # noqa: S603
            [
                *(str(self.program), "run", str(day_run.site), day_run.day),
                *("--seed", str(day_run.seed), "--no-cpu", "--why", why),
            ],
            cwd=self.copy_directory(day_run.mechanism),
            capture_output=True,
            text=True,
            check=False,
        )
        parsed = parse_day(done.stdout, day_run.day)
        if parsed is None:
            raise click.ClickException(
                f"{day_run}: {done.stdout[-500:]}{done.stderr[-500:]}"
            )
        return DayResult(day_run, *parsed)

    def copy_directory(self, mechanism: str) -> Path:
        """Return the directory of the copy without a mechanism."""
        return self.work_directory / mechanism.replace(" ", "-")

    def build_copy(self, mechanism: Edit | None) -> None:
        """Make the copy without a mechanism and build it."""
        target = self.copy_directory(mechanism.rule if mechanism else ALL_ON)
        copy_repository(mechanism, target)
        for command in (["git", "init", "-q"], ["git", "add", "-A"]):
            subprocess.run(command, cwd=target, check=True)  # noqa: S603
        subprocess.run(  # noqa: S603
            [str(self.program), "build"], cwd=target, check=True, capture_output=True
        )


def parse_day(printed: str, day: str) -> tuple[float, str] | None:
    """Return a day's value and the rules it broke; ``None`` if the output lacks them."""
    match = re.search(rf"^{day} +\S+ +\S+ +(-?[\d.]+) (.*)$", printed, re.M)
    if match is None:
        return None
    rules = sorted(set(re.findall(r"\b[A-Z]{4,}\b", match[2])))
    return float(match[1]), " ".join(rules)


def table(results: Iterable[DayResult]) -> str:
    """Return a table of differences to all enabled: mean, deviation, days, broken rules."""
    value_of = {row.run: row.value for row in results}
    broken = {row.run: row.broken_rules for row in results if row.broken_rules}
    names = dict.fromkeys(
        day_run.mechanism for day_run in value_of if day_run.mechanism != ALL_ON
    )
    sites = dict.fromkeys(day_run.site for day_run in value_of)
    lines = [
        "| without | " + " | ".join(site.stem for site in sites) + " | rules broken |",
        "|---" * (len(sites) + 2) + "|",
    ]
    for name in names:
        cells = [_difference_cell(value_of, name, site) for site in sites]
        rules = {broken[day_run] for day_run in broken if day_run.mechanism == name}
        lines.append(f"| {name} | {' | '.join(cells)} | {' '.join(sorted(rules))} |")
    means = [_mean_value(value_of, site) for site in sites]
    lines.append(f"| nothing (mean value) | {' | '.join(means)} | |")
    return "\n".join(lines) + "\n"


def _difference_cell(value_of: dict[DayRun, float], name: str, site: Path) -> str:
    differences = [
        value - value_of[day_run._replace(mechanism=ALL_ON)]
        for day_run, value in value_of.items()
        if day_run.mechanism == name and day_run.site == site
    ]
    spread = statistics.stdev(differences) if len(differences) > 1 else 0.0
    return f"{statistics.mean(differences):+.4f} ({spread:.4f}, {len(differences)})"


def _mean_value(value_of: dict[DayRun, float], site: Path) -> str:
    values = [
        value
        for day_run, value in value_of.items()
        if day_run.mechanism == ALL_ON and day_run.site == site
    ]
    return f"{statistics.mean(values):.4f}"


def _copy_journals(bench: Bench, mechanisms: Sequence[str]) -> None:
    for name in mechanisms:
        for entry in (bench.copy_directory(name) / "journal").glob("*.json"):
            shutil.copy(entry, ROOT / "journal")


@click.command()
@click.option("--bench", "program", type=Path, required=True, help="The customers' bench.")
@click.option("--site", "sites", type=Path, multiple=True, required=True)
@click.option(
    "--work", type=Path, required=True, help="An empty directory, not below /tmp."
)
@click.option("--day", "days", multiple=True, default=DAYS, show_default=True)
@click.option("--seed", "seeds", type=int, multiple=True, default=(1, 2, 3))
@click.option("--only", multiple=True, help="Mechanisms to disable; by default each.")
@click.option("--jobs", default=8, show_default=True, help="Days run in parallel.")
@click.option("--keep", is_flag=True, help="Keep the table and the journal entries.")
def main(
    program: Path,
    sites: tuple[Path, ...],
    work: Path,
    days: tuple[str, ...],
    seeds: tuple[int, ...],
    only: tuple[str, ...],
    jobs: int,
    keep: bool,
) -> None:
    """Run days without each mechanism and print the value of each."""
    bench = Bench(program.resolve(), work.resolve())
    chosen = [edit for edit in MECHANISMS if not only or edit.rule in only]
    for edit in (None, *chosen):
        bench.build_copy(edit)
    names = [ALL_ON, *(edit.rule for edit in chosen)]
    paths = [site.resolve() for site in sites]
    day_runs = [DayRun(*row) for row in itertools.product(names, paths, days, seeds)]
    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(bench.run_day, day_runs))
    text = table(results)
    click.echo(text)
    if keep:
        RESULTS.write_text(f"# Value of each mechanism\n\n{text}")
        _copy_journals(bench, names)


if __name__ == "__main__":
    main()
