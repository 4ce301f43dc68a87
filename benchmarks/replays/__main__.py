"""Replays load patterns with rising numbers of entries and prints the outcomes."""

from __future__ import annotations

import time
from statistics import mean, stdev

import click

from .fleet import Replay, ReplayTotals
from .patterns import KINDS, PATTERNS, LoadPattern

ENTRY_COUNTS = (1, 4, 16, 68)


def _run_replays(
    pattern: LoadPattern, entries: int, seeds: range, *, is_coordinated: bool, engines: int
) -> tuple[list[ReplayTotals], float]:
    started_at = time.process_time()
    totals = []
    for seed in seeds:
        replay = Replay(
            pattern,
            entries=entries,
            engines=engines,
            seed=seed,
            is_coordinated=is_coordinated,
        )
        totals.append(replay.run())
    return totals, time.process_time() - started_at


def _table_row(
    pattern: LoadPattern, entries: int, mode: str, replays: list[ReplayTotals]
) -> str:
    values = [totals.share_answered(*KINDS) for totals in replays]
    in_time = " ".join(
        f"{mean(totals.fraction_in_time(kind) for totals in replays):.3f}" for kind in KINDS
    )
    spread = stdev(values) if len(values) > 1 else 0.0
    refusals = sum(totals.refusals for totals in replays)
    free_slots = sum(totals.free_slots_at_refusals for totals in replays) / max(refusals, 1)
    messages_per_s = (
        mean(totals.messages for totals in replays) / entries / pattern.length_s
    )
    kilobytes_per_s = (
        mean(totals.bytes for totals in replays) / entries / pattern.length_s / 1000
    )
    return (
        f"| {pattern.name} | {entries} | {mode} | {mean(values):.3f} ({spread:.3f}) "
        f"| {in_time} | {refusals / len(replays):.0f} | {free_slots:.0f} "
        f"| {messages_per_s:.0f} | {kilobytes_per_s:.1f} |"
    )


@click.command()
@click.option("--seeds", default=3, help="Replays for each row.")
@click.option("--engines", default=39, help="Engines at the start.")
@click.option("--entries", multiple=True, type=int, default=ENTRY_COUNTS)
@click.option("--only", default="", help="Part of a pattern's name.")
def main(*, seeds: int, engines: int, entries: tuple[int, ...], only: str) -> None:
    """Print a table that compares independent entries with one that grants all slots."""
    click.echo(
        "| pattern | entries | mode | value (deviation) | in time: draft brief chat "
        "| refusals | free slots at a refusal | messages/s | KB/s |\n"
        "|---|---|---|---|---|---|---|---|---|"
    )
    for pattern in PATTERNS:
        if only not in pattern.name:
            continue
        for count in entries:
            for is_coordinated in (False, True) if count > 1 else (False,):
                mode = "coordinated" if is_coordinated else "independent"
                replays, _ = _run_replays(
                    pattern,
                    count,
                    range(1, seeds + 1),
                    is_coordinated=is_coordinated,
                    engines=engines,
                )
                click.echo(_table_row(pattern, count, mode, replays))


if __name__ == "__main__":
    main()
