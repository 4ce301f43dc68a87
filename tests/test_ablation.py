"""Ablation and mutants: every edit still matches the code, and the table is right."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.ablation import ALL_ON, MECHANISMS, DayResult, DayRun, parse_day, table
from benchmarks.edited_copy import ROOT, Edit
from benchmarks.mutants import MUTANTS


@pytest.mark.parametrize("edit", [*MECHANISMS, *MUTANTS], ids=lambda edit: edit.rule)
def test_edited_text_occurs_once_and_is_changed(edit: Edit) -> None:
    text = (ROOT / "dockreach" / edit.module).read_text()
    assert text.count(edit.before) == 1
    assert edit.before != edit.after


def test_value_and_broken_rules_are_parsed_from_the_line_of_a_day() -> None:
    line = "scale-2  22/21  0.00  -0.125  0.671  0.429  0.021  LOST, QUOTA; nines 0.36"
    assert parse_day(line, "scale-2") == (-0.125, "LOST QUOTA")
    unbroken = "scale-2  22/21  1.00  0.439  0.671  0.429  0.021  nines 0.36; prices 0.059"
    assert parse_day(unbroken, "scale-2") == (0.439, "")
    assert parse_day(unbroken, "scale-1") is None


def test_differences_are_paired_by_site_day_and_seed() -> None:
    site = Path("north.toml")
    rows = []
    for seed, on, off in ((1, 0.5, 0.4), (2, 0.7, 0.65)):
        rows.append(DayResult(DayRun(ALL_ON, site, "d", seed), on, ""))
        rows.append(
            DayResult(DayRun("x", site, "d", seed), off, "QUOTA" if seed == 2 else "")
        )
    lines = table(rows).splitlines()
    assert lines[0] == "| without | north | rules broken |"
    assert lines[2] == "| x | -0.0750 (0.0354, 2) | QUOTA |"
    assert lines[3] == "| nothing (mean value) | 0.6000 | |"
