"""``dockreach report worth``: how well callers were served, as a single score."""

from __future__ import annotations

import html
import sys
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.table import Table

from .cli_exit import EXIT_REFUSED, exit_with_error
from .errors import SettingsError
from .service_worth import AttemptCounts, Prices, RouteWorth, total_worth, worth_by_route
from .service_worth_input import read_attempt_counts, read_prices

_BAR_PX = 400
_COLOURS = {
    "late first event": "#e6a23c",
    "pause": "#f2d16b",
    "not served": "#c33",
    "held in vain": "#8e44ad",
    "failed again": "#555",
}


@click.command(name="worth")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
@click.option(
    "--prices",
    "prices_path",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="INI file with a section [worth].",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--html", "html_path", type=click.Path(path_type=Path), help="Write an HTML page."
)
def worth_command(
    files: tuple[Path, ...], prices_path: Path | None, as_json: bool, html_path: Path | None
) -> None:
    """Report how well callers were served, from entries' metrics pages or logs."""
    try:
        prices = read_prices(prices_path) if prices_path else Prices()
    except SettingsError as exc:
        exit_with_error(str(exc))
    counts = read_attempt_counts(files)
    rows = worth_by_route(counts)
    if html_path is not None:
        html_path.write_text(_render_html(rows, prices, counts))
    if as_json:
        click.echo(msgspec.json.encode(_report_fields(rows, prices, counts)).decode())
    else:
        Console().print(_table(rows, prices))
        click.echo(f"worth of all: {total_worth(rows, prices):.4f}")
    _print_problems(counts)
    if not rows:
        sys.exit(EXIT_REFUSED)


def _print_problems(counts: AttemptCounts) -> None:
    for problem in counts.problems:
        click.echo(f"dockreach: {problem}", err=True)
    if counts.is_partial:
        click.echo(f"dockreach: partial: {counts.left_out} lines left out", err=True)


def _report_fields(
    rows: Sequence[RouteWorth], prices: Prices, counts: AttemptCounts
) -> dict[str, Any]:
    routes = [
        {**asdict(row), "worth": row.worth(prices), "lost": row.losses(prices)}
        for row in rows
    ]
    return {
        "worth": total_worth(rows, prices),
        "routes": routes,
        "partial": counts.is_partial,
        "left_out": counts.left_out,
        "problems": counts.problems,
    }


def _table(rows: Sequence[RouteWorth], prices: Prices) -> Table:
    table = Table(title="worth, counted from callers' first attempts")
    for name in ("route", "tier"):
        table.add_column(name)
    for name in (
        "owed",
        "retries",
        "in time",
        "late",
        "pause",
        "unserved",
        "held",
        "worth",
    ):
        table.add_column(name, justify="right")
    for row in rows:
        reasons = ", ".join(f"{name} {n:.0f}" for name, n in sorted(row.unserved.items()))
        cells = [row.route, str(row.tier), f"{row.owed:.0f}", f"{row.returned:.0f}"]
        cells += [f"{row.in_time:.0f}", f"{row.late_first:.0f}", f"{row.late_gap:.0f}"]
        cells += [reasons, f"{row.held:.0f}", f"{row.worth(prices):.3f}"]
        table.add_row(*cells)
    return table


def _render_html(rows: Sequence[RouteWorth], prices: Prices, counts: AttemptCounts) -> str:
    """Return the report as an HTML page with a bar that shows each route's losses."""
    parts = [
        "<!doctype html><meta charset=utf-8><title>Served worth</title>",
        "<style>body{font-family:sans-serif}td,th{padding:.2em .8em}</style>",
        "<h1>Served worth</h1>",
        f"<p>{total_worth(rows, prices):.1%} of what callers were owed.",
    ]
    if counts.is_partial:
        parts.append(f"<p><b>Partial:</b> {counts.left_out} log lines are missing.")
        parts += [f"<p>{html.escape(problem)}" for problem in counts.problems]
    legend = [f'<b style="color:{code}">{name}</b>' for name, code in _COLOURS.items()]
    parts.append(f"<p>Losses: {', '.join(legend)}.<table>")
    parts += [_html_row(row, prices) for row in rows]
    return "\n".join([*parts, "</table>\n"])


def _html_row(row: RouteWorth, prices: Prices) -> str:
    bars = []
    start = 0.0
    for name, fraction in row.losses(prices).items():
        width = fraction * _BAR_PX
        bars.append(
            f'<rect x="{start:.1f}" width="{width:.1f}" height="14" '
            f'fill="{_COLOURS[name]}"><title>{name}: {fraction:.1%}</title></rect>'
        )
        start += width
    svg = f'<svg width="{2 * _BAR_PX}" height="14">{"".join(bars)}</svg>'
    return (
        f"<tr><td>{html.escape(row.route)}<td>tier {row.tier}"
        f"<td>{row.worth(prices):.1%} of {row.owed:.0f}<td>{svg}"
    )
