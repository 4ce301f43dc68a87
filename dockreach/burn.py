"""The burn report: how fast each tier uses up the error budget of its objective.

The burn rate is the fraction of bad responses divided by the fraction that the objective
allows: at 1 the budget lasts exactly for its period. Source: Google, "The Site Reliability
Workbook", 2018.
"""

from __future__ import annotations

import html
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from .query import Row


class BurnRow(NamedTuple):
    """The burn rate of one tier and organisation over one window.

    Attributes:
        tier: Name of the tier.
        organisation: Name of the organisation.
        window_s: Length of the window, in seconds.
        objective: Target fraction of good responses.
        good: Complete responses in time.
        total: All responses that count towards the objective.
        burn_rate: Burn rate over the window.
        budget_left: Remaining fraction of the window's error budget; negative if exceeded.
        covered: Fraction of the window for which the entries have counts.
    """

    tier: str
    organisation: str
    window_s: float
    objective: float
    good: int
    total: int
    burn_rate: float
    budget_left: float
    covered: float


def burn_rows(
    rows: Iterable[Row], objectives: dict[str, float], entries: int
) -> list[BurnRow]:
    """Return the burn rates from the counts of all entries.

    Args:
        rows: Rows of the ``burn`` table.
        objectives: Declared objective of each tier.
        entries: Expected number of entries. An entry that is missing, or that was replaced
            within a window, leaves part of the window uncovered.
    """
    groups: dict[tuple[str, str, float], list[Row]] = {}
    for row in rows:
        key = (str(row["tier"]), str(row["organisation"]), _to_float(row["window"]))
        groups.setdefault(key, []).append(row)
    covered_s = _covered_by_entry(groups)
    burn = []
    for (tier, organisation, window), members in sorted(groups.items()):
        good = sum(int(_to_float(row["good"])) for row in members)
        total = sum(int(_to_float(row["total"])) for row in members)
        objective = objectives.get(tier, 0.95)
        rate = (1 - good / total) / (1 - objective) if total else 0.0
        counted_s = sum(min(window, seconds) for seconds in covered_s.values())
        covered = counted_s / (window * max(entries, len(covered_s), 1))
        burn.append(
            BurnRow(
                tier, organisation, window, objective, good, total, rate, 1 - rate, covered
            )
        )
    return burn


def _covered_by_entry(groups: dict[tuple[str, str, float], list[Row]]) -> dict[str, float]:
    """Return the longest time, in seconds, for which each entry reports counts."""
    longest: dict[str, float] = {}
    for members in groups.values():
        for row in members:
            name = str(row["entry"])
            longest[name] = max(longest.get(name, 0.0), _to_float(row["covered"]))
    return longest


def _to_float(value: object) -> float:
    """Return a value as a number; 0 if it is none."""
    return float(value) if isinstance(value, int | float) else 0.0


def render_html(rows: Sequence[BurnRow]) -> str:
    """Return the report as an HTML page with a bar for each burn rate."""
    parts = [
        "<!doctype html><meta charset=utf-8><title>Service-level burn</title>",
        "<style>body{font-family:sans-serif}td,th{padding:.2em .8em;text-align:right}"
        "td:first-child,td:nth-child(2){text-align:left}"
        ".gap{color:#a00}</style>",
        "<h1>Service-level burn</h1>",
        "<p>At a burn rate of 1 the error budget lasts exactly for its period. Where less "
        "than the whole window is covered, entries were replaced and their counts lost.",
        "<table><tr><th>tier<th>organisation<th>window<th>objective<th>good<th>total"
        "<th>burn rate<th><th>budget left<th>covered",
    ]
    parts += [_html_row(row) for row in rows]
    return "\n".join([*parts, "</table>\n"])


def _html_row(row: BurnRow) -> str:
    width = min(300, round(60 * row.burn_rate))
    colour = "#c33" if row.burn_rate > 1 else "#393"
    bar = (
        f'<svg width="300" height="12"><rect width="{width}" height="12" '
        f'fill="{colour}"/><line x1="60" x2="60" y2="12" stroke="#000"/></svg>'
    )
    gap = "" if row.covered > 0.99 else ' class="gap"'
    return (
        f"<tr><td>{html.escape(row.tier)}<td>{html.escape(row.organisation)}"
        f"<td>{format_window(row.window_s)}<td>{row.objective:.1%}<td>{row.good}"
        f"<td>{row.total}<td>{row.burn_rate:.2f}<td>{bar}<td>{row.budget_left:.0%}"
        f"<td{gap}>{row.covered:.0%}"
    )


def format_window(seconds: float) -> str:
    """Return the length of a window in minutes or hours, with its unit."""
    if seconds < 3600:
        return f"{seconds / 60:.0f} min"
    return f"{seconds / 3600:.0f} h"
