"""``dockreach report worth``: how well callers were served, and what that is worth."""

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
    """Report how well callers were served, from entries' metrics pages or logs.

    The worth is reported only with the weights of a prices file.
    """
    try:
        prices = read_prices(prices_path) if prices_path else None
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
        if prices is not None:
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
    rows: Sequence[RouteWorth], prices: Prices | None, counts: AttemptCounts
) -> dict[str, Any]:
    routes = [{**asdict(row), "answered": row.answered} for row in rows]
    worth: dict[str, Any] = {}
    if prices is not None:
        worth["worth"] = total_worth(rows, prices)
        for fields, row in zip(routes, rows, strict=True):
            fields |= {"worth": row.worth(prices), "lost": row.losses(prices)}
    return {
        **worth,
        "routes": routes,
        "partial": counts.is_partial,
        "left_out": counts.left_out,
        "problems": counts.problems,
    }


def _table(rows: Sequence[RouteWorth], prices: Prices | None) -> Table:
    table = Table(title="requests, counted from callers' first attempts")
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
        "answered",
        *(() if prices is None else ("worth",)),
    ):
        table.add_column(name, justify="right")
    for row in rows:
        reasons = ", ".join(f"{name} {n:.0f}" for name, n in sorted(row.unserved.items()))
        cells = [row.route, str(row.tier), f"{row.owed:.0f}", f"{row.returned:.0f}"]
        cells += [f"{row.in_time:.0f}", f"{row.late_first:.0f}", f"{row.late_gap:.0f}"]
        cells += [reasons, f"{row.held:.0f}", f"{row.answered:.3f}"]
        cells += [] if prices is None else [f"{row.worth(prices):.3f}"]
        table.add_row(*cells)
    return table


def _render_html(
    rows: Sequence[RouteWorth], prices: Prices | None, counts: AttemptCounts
) -> str:
    """Return the report as an HTML page.

    With weights, a bar shows each route's losses.
    """
    parts = [
        "<!doctype html><meta charset=utf-8><title>Served callers</title>",
        "<style>body{font-family:sans-serif}td,th{padding:.2em .8em}</style>",
        "<h1>Served callers</h1>",
    ]
    if prices is not None:
        parts.append(f"<p>{total_worth(rows, prices):.1%} of what callers were owed.")
    if counts.is_partial:
        parts.append(f"<p><b>Partial:</b> {counts.left_out} log lines are missing.")
        parts += [f"<p>{html.escape(problem)}" for problem in counts.problems]
    if prices is None:
        parts.append("<table>")
        parts += [f"{_html_cells(row)}<td>{row.answered:.1%} answered" for row in rows]
        return "\n".join([*parts, "</table>\n"])
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
    return f"{_html_cells(row)}<td>{row.worth(prices):.1%} of {row.owed:.0f}<td>{svg}"


def _html_cells(row: RouteWorth) -> str:
    return f"<tr><td>{html.escape(row.route)}<td>tier {row.tier}"
