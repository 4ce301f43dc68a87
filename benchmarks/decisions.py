"""Compares decisions with two baselines: goodput by tier and wasted prefill."""

from __future__ import annotations

from dockreach import _green

_green.install(with_asyncio=False)

import json  # noqa: E402
from collections.abc import Sequence  # noqa: E402
from dataclasses import asdict, dataclass  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402

import click  # noqa: E402

from benchmarks.systems import SYSTEMS, Target, running  # noqa: E402
from dockreach.load import LoadGenerator, Outcome, percentile  # noqa: E402
from dockreach.profiles import PROFILES, Profile  # noqa: E402

RESULTS = Path("docs/results")
SCENARIOS = ("calm", "burst", "slow-down", "kill")
CALM_LOAD_FRACTION = 0.6
BURST_LOAD_FACTOR = 3.0
"""Load of a burst, as a multiple of the engines' capacity."""

SLOWDOWN_FACTOR = 10.0


@dataclass(slots=True)
class Row:
    """The results of one system in one scenario."""

    scenario: str
    system: str
    sent: dict[str, int]
    in_time: dict[str, int]
    goodput: float
    engine_use: float
    wasted_prefill: int
    prefill: int
    p95_first_s: float
    p95_first_top_s: float
    wrong_verdicts: int
    second_runs: int
    inversions: int
    errors: dict[str, int]


def capacity_requests_per_s(profile: Profile) -> float:
    """Return the capacity of the engines in requests/s, by declared speeds."""
    kinds = [kind for kind in profile.kinds if not kind.service]
    weight = sum(kind.weight for kind in kinds)
    total = 0.0
    for item in profile.fleet.endpoints:
        if item.kind == "service":
            continue
        gap = item.gap_ms / 1000 * 1.5
        prefill_s = sum(
            kind.weight * (kind.prompt_tokens - kind.shared_tokens) for kind in kinds
        ) / (weight * item.prefill_rate)
        decode_s = sum(kind.weight * kind.output_tokens for kind in kinds) / weight * gap
        total += min(1 / prefill_s, item.slots / (decode_s + prefill_s))
    return total * sum(kind.weight for kind in profile.kinds) / weight


def inject_fault(scenario: str, target: Target, after_s: float) -> None:
    """Slow down or kill a sixth of the engines during a run."""
    _green.sleep(after_s)
    engines = [
        item.name for item in target.deployment.spec.endpoints if item.kind == "openai"
    ]
    affected = engines[: max(1, len(engines) // 6)]
    for name in affected:
        if scenario == "slow-down":
            target.deployment.control_engine(name, slow=SLOWDOWN_FACTOR)
        elif scenario == "kill":
            target.deployment.engines[name].kill()


def measure(scenario: str, system: str, profile: Profile, seconds: float, seed: int) -> Row:
    """Run one scenario on one system and return the results."""
    full_rate = capacity_requests_per_s(profile)
    rate = full_rate * (BURST_LOAD_FACTOR if scenario == "burst" else CALM_LOAD_FRACTION)
    with running(system, profile.fleet) as target:
        load = LoadGenerator(target.urls, profile.kinds, seed=seed)
        if scenario in ("slow-down", "kill"):
            _green.spawn(inject_fault, scenario, target, seconds / 3)
        outcomes = load.run([(seconds, rate)])
        logs = target.deployment.run_logs()
    return _summarize(scenario, system, outcomes, logs, full_rate)


def _summarize(
    scenario: str,
    system: str,
    outcomes: Sequence[Outcome],
    logs: dict[str, dict[str, Any]],
    max_served: float,
) -> Row:
    """Compute the results; ``max_served`` is the capacity in requests per second."""
    tiers = sorted({row.tier for row in outcomes})
    sent = {tier: sum(row.tier == tier for row in outcomes) for tier in tiers}
    in_time_by_tier = {
        tier: sum(row.tier == tier and row.is_in_time for row in outcomes) for tier in tiers
    }
    ends = [row.sent_at + row.total_s for row in outcomes if row.is_in_time]
    max_served *= max(ends, default=1.0)
    in_time = {row.rid for row in outcomes if row.is_in_time}
    wasted = total = repeated = 0
    ran: dict[str, int] = {}
    for log in logs.values():
        for rid, entry in log.items():
            count = entry if isinstance(entry, int) else entry["dispatched"]
            ran[rid] = ran.get(rid, 0) + count
            if isinstance(entry, int) or rid.startswith("probe"):
                continue
            total += entry["prefilled"]
            wasted += 0 if rid in in_time else entry["prefilled"]
    repeated = sum(count > 1 for count in ran.values())
    wrong_verdicts = sum(
        row.verdict == "not_run" and row.rid in ran for row in outcomes if row.rid
    )
    first = [row.first_token_s for row in outcomes if row.first_token_s is not None]
    top = [
        row.first_token_s
        for row in outcomes
        if row.first_token_s is not None and row.tier == "bulletin"
    ]
    errors: dict[str, int] = {}
    for row in outcomes:
        if not row.is_in_time:
            name = row.code or ("late" if row.is_complete else "broken")
            errors[f"{row.tier}/{name}"] = errors.get(f"{row.tier}/{name}", 0) + 1
    return Row(
        scenario=scenario,
        system=system,
        sent=sent,
        in_time=in_time_by_tier,
        goodput=sum(in_time_by_tier.values()) / max(1, sum(sent.values())),
        engine_use=sum(in_time_by_tier.values()) / max_served,
        wasted_prefill=wasted,
        prefill=total,
        p95_first_s=percentile(first, 0.95),
        p95_first_top_s=percentile(top, 0.95),
        wrong_verdicts=wrong_verdicts,
        second_runs=repeated,
        inversions=_count_inversions(outcomes),
        errors=errors,
    )


def _count_inversions(outcomes: Sequence[Outcome]) -> int:
    """Count requests that were shed although a later one of a lower tier was served.

    Only refusals because of load count, and only if the request of the lower tier was
    sent while the refused one waited, and its response was complete.
    """
    order = {"bulletin": 0, "notice": 1, "lookup": 2}
    count = 0
    for row in outcomes:
        if row.code not in ("shed", "floor"):
            continue
        count += any(
            order[other.tier] > order[row.tier]
            and row.sent_at < other.sent_at < row.sent_at + row.total_s
            and other.is_complete
            for other in outcomes
        )
    return count


def write_results(rows: Sequence[Row], profile: str, seconds: float) -> None:
    """Write the results as JSON, a table and a plot."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    raw = json.dumps([asdict(row) for row in rows], indent=1)
    (RESULTS / f"decisions-{profile}.json").write_text(raw + "\n")
    (RESULTS / f"decisions-{profile}.md").write_text(table(rows, profile, seconds))
    _plot(rows, profile)


def table(rows: Sequence[Row], profile: str, seconds: float) -> str:
    """Return the results as a Markdown table."""
    tiers = sorted({tier for row in rows for tier in row.sent})
    headings = ["scenario", "system", *(f"{tier} in time" for tier in tiers)]
    headings += ["of capacity", "wasted prefill", "p95 first", "p95 first, top tier"]
    headings += ["wrong verdicts", "second runs", "inversions"]
    lines = [
        f"# Decisions, profile {profile}",
        "",
        f"Made by `make bench`; {seconds:.0f} s of load for each row, sent to fresh "
        "stand-ins.",
        "",
        "| " + " | ".join(headings) + " |",
        "|" + "---|" * len(headings),
    ]
    for row in rows:
        cells = [row.scenario, row.system]
        cells += [f"{row.in_time.get(t, 0)}/{row.sent.get(t, 0)}" for t in tiers]
        cells += [
            f"{100 * row.engine_use:.0f}%",
            f"{row.wasted_prefill} of {row.prefill}",
            f"{row.p95_first_s:.2f} s",
            f"{row.p95_first_top_s:.2f} s",
            str(row.wrong_verdicts),
            str(row.second_runs),
            str(row.inversions),
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _plot(rows: Sequence[Row], profile: str) -> None:
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use("Agg")
    from matplotlib import pyplot as plt  # noqa: PLC0415

    figure, axes = plt.subplots(1, 2, figsize=(11, 4))
    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    width = 0.25
    for index, system in enumerate(SYSTEMS):
        chosen = [row for row in rows if row.system == system]
        positions = [scenarios.index(row.scenario) + index * width for row in chosen]
        top = [
            100 * row.in_time.get("bulletin", 0) / max(1, row.sent.get("bulletin", 0))
            for row in chosen
        ]
        axes[0].bar(positions, top, width, label=system)
        waste = [100 * row.wasted_prefill / max(1, row.prefill) for row in chosen]
        axes[1].bar(positions, waste, width, label=system)
    axes[0].set_title("top tier in time, % of sent")
    axes[1].set_title("wasted prefill, % of prefill")
    for axis in axes:
        axis.set_xticks([position + width for position in range(len(scenarios))], scenarios)
        axis.legend()
    figure.suptitle(f"profile {profile}")
    figure.tight_layout()
    figure.savefig(RESULTS / f"decisions-{profile}.png", dpi=100)


@click.command()
@click.option("--profile", type=click.Choice(list(PROFILES)), default="small")
@click.option(
    "--seconds", default=20.0, help="Duration of the load for each row, in seconds."
)
@click.option("--scenario", "scenarios", multiple=True, default=SCENARIOS)
@click.option("--system", "systems", multiple=True, default=SYSTEMS)
@click.option("--seed", default=1)
@click.option("--keep", is_flag=True, help="Write the results under docs/results.")
def main(
    profile: str,
    seconds: float,
    scenarios: tuple[str, ...],
    systems: tuple[str, ...],
    seed: int,
    keep: bool,
) -> None:
    """Measure each system in each scenario and print the table."""
    rows = []
    for scenario in scenarios:
        for system in systems:
            chosen = PROFILES[profile]()
            row = measure(scenario, system, chosen, seconds, seed)
            rows.append(row)
            click.echo(f"{scenario} {system}: {row.in_time} of {row.sent} {row.errors}")
    click.echo(table(rows, profile, seconds))
    if keep:
        write_results(rows, profile, seconds)


if __name__ == "__main__":
    main()
