"""Runs many soaks from the command line: ``python -m tests.soak --seeds 50``."""

from __future__ import annotations

import secrets
import subprocess
import sys
import tempfile
from pathlib import Path

import click

from .burst_cluster import ENTRIES as BURST_ENTRIES
from .cluster import DEFAULT_ENTRIES
from .entries import ROOT
from .leaving_cluster import ENTRIES as LEAVING_ENTRIES
from .out_of_step_cluster import ENTRIES
from .profiles import PROFILES, Profile, ProfileName
from .run import run_soak
from .storm_cluster import ENTRIES as STORM_ENTRIES
from .theme import Theme
from .turned_away_cluster import ENTRIES as TURNED_AWAY_ENTRIES

PARALLEL_RUNS = 4
"""Soaks that run at the same time: each has four busy processes."""

DEFAULT_SECONDS = 10.0
THEME_SECONDS = {Theme.OUT_OF_STEP: 8.0, Theme.LEAVING: 16.0, Theme.STORMS: 14.0}
"""How long faults are injected, in seconds."""

THEME_ENTRIES = {
    Theme.OUT_OF_STEP: ENTRIES,
    Theme.LEAVING: LEAVING_ENTRIES,
    Theme.STORMS: STORM_ENTRIES,
    Theme.TURNED_AWAY: TURNED_AWAY_ENTRIES,
    Theme.BURSTS: BURST_ENTRIES,
}


@click.command()
@click.option("--seeds", default=8, help="Number of soaks.")
@click.option("--first", type=int, help="First seed; random if left out.")
@click.option("--seconds", type=float, help="How long faults are injected.")
@click.option("--entries", type=int, help="Entries per soak; many run alone.")
@click.option("--lives", "theme", flag_value=Theme.RESTARTS, type=Theme, help="Restarts.")
@click.option(
    "--deadly",
    "theme",
    flag_value=Theme.CRASHING_REQUESTS,
    type=Theme,
    help="Crashing requests.",
)
@click.option(
    "--notices",
    "theme",
    flag_value=Theme.ENDPOINT_NOTICES,
    type=Theme,
    help="Status notices.",
)
@click.option(
    "--overload",
    "theme",
    flag_value=Theme.OVERLOAD,
    type=Theme,
    help="More requests than slots.",
)
@click.option(
    "--versions",
    "theme",
    flag_value=Theme.SOFTWARE_VERSIONS,
    type=Theme,
    help="Software versions side by side.",
)
@click.option(
    "--cutoffs",
    "theme",
    flag_value=Theme.CUT_OFF,
    type=Theme,
    help="Entries that are cut off from the store.",
)
@click.option(
    "--silences",
    "theme",
    flag_value=Theme.SILENCES,
    type=Theme,
    help="Endpoints that are silent for a moment, beside changes and stops.",
)
@click.option(
    "--processes",
    "theme",
    flag_value=Theme.PROCESSES,
    type=Theme,
    help="Endpoints that are processes, killed and paused.",
)
@click.option(
    "--rejoined",
    "theme",
    flag_value=Theme.REJOINED,
    type=Theme,
    help="Long streams, and kills of all entries beside a change of software.",
)
@click.option(
    "--out-of-step",
    "theme",
    flag_value=Theme.OUT_OF_STEP,
    type=Theme,
    help="Entries that are cut off or stand still beside a release.",
)
@click.option(
    "--leaving",
    "theme",
    flag_value=Theme.LEAVING,
    type=Theme,
    help="Endpoints that leave beside faults of the store.",
)
@click.option(
    "--storms",
    "theme",
    flag_value=Theme.STORMS,
    type=Theme,
    help="Storms of configurations, silent connections and lost seeds.",
)
@click.option(
    "--turned-away",
    "theme",
    flag_value=Theme.TURNED_AWAY,
    type=Theme,
    help="A store that turns entries away while configurations are written.",
)
@click.option(
    "--bursts",
    "theme",
    flag_value=Theme.BURSTS,
    type=Theme,
    help="Large bodies and take-ups of one stream at once.",
)
@click.option("--all", "theme", flag_value=Theme.ALL, type=Theme, help="All three.")
@click.option(
    "--code",
    type=click.Path(exists=True, path_type=Path),
    default=ROOT,
    help="Root of the code that entries run.",
)
@click.option(
    "--profile",
    "profile_name",
    type=click.Choice([name.value for name in ProfileName]),
    help="With --rejoined, the size and the traffic of a small deployment.",
)
@click.option("--parallel", default=PARALLEL_RUNS, help="Soaks at the same time.")
@click.option("--one", type=int, help="Run only this seed, in this process.")
def main(
    seeds: int,
    first: int | None,
    seconds: float | None,
    entries: int | None,
    theme: Theme | None,
    code: Path,
    profile_name: str | None,
    parallel: int,
    one: int | None,
) -> None:
    """Run soaks with new seeds, some in parallel; exit with 1 if one fails."""
    chosen = theme or Theme.ORDINARY
    profile = PROFILES[ProfileName(profile_name)] if profile_name else None
    if profile is not None:
        if chosen is not Theme.REJOINED:
            raise click.UsageError("--profile needs --rejoined")
        entries = profile.entries
    seconds = seconds or THEME_SECONDS.get(chosen, DEFAULT_SECONDS)
    entries = entries or THEME_ENTRIES.get(chosen, DEFAULT_ENTRIES)
    if one is not None:
        sys.exit(_run_one(one, seconds, entries, chosen, code, profile))
    start = secrets.randbelow(10**6) if first is None else first
    remaining = list(range(start, start + seeds))
    failed = []
    while remaining:
        count = max(parallel * DEFAULT_ENTRIES // entries, 1)
        batch, remaining = remaining[:count], remaining[count:]
        running = [
            (seed, _spawn(seed, seconds, entries, chosen, code, profile_name))
            for seed in batch
        ]
        for seed, process in running:
            output, _ = process.communicate()
            click.echo(output.decode(), nl=False)
            if process.returncode:
                failed.append(seed)
    click.echo(
        f"{seeds - len(failed)} of {seeds} soaks held all invariants; failed: {failed}"
    )
    sys.exit(1 if failed else 0)


def _spawn(
    seed: int,
    seconds: float,
    entries: int,
    theme: Theme,
    code: Path,
    profile_name: str | None,
) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-W", "ignore", "-m", "tests.soak"]
    options = ["--one", str(seed), "--seconds", str(seconds), "--entries", str(entries)]
    options += ["--code", str(code)]
    if profile_name:
        options += ["--profile", profile_name]
    if theme is not Theme.ORDINARY:
        options.append(f"--{theme}")
    return subprocess.Popen(
        command + options, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
    )


def _run_one(
    seed: int,
    seconds: float,
    entries: int,
    theme: Theme,
    code: Path,
    profile: Profile | None,
) -> int:
    with tempfile.TemporaryDirectory() as folder:
        result = run_soak(
            seed, seconds, Path(folder), entries, theme=theme, code=code, profile=profile
        )
    stalled = (
        f", own process stalled for {result.stalled_s:.1f} s" if result.stalled_s else ""
    )
    click.echo(f"seed {seed}: {result.served} of {result.sent} requests served{stalled}")
    for note in result.notes:
        click.echo(f"  {note}")
    if not result.violations:
        return 0
    for line in [*result.violations, *result.faults, *result.logs]:
        click.echo(f"  {line}")
    return 1


if __name__ == "__main__":
    main()
