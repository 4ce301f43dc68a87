"""Plays load patterns with more and more entries and prints what callers got."""

from __future__ import annotations

import time
from statistics import mean, stdev

import click

from .fleet import Replay, Totals
from .patterns import KINDS, PATTERNS, Pattern

SIZES = (1, 4, 16, 68)


def _play(
    pattern: Pattern, entries: int, seeds: range, *, is_coordinated: bool, engines: int
) -> tuple[list[Totals], float]:
    started = time.process_time()
    found = []
    for seed in seeds:
        replay = Replay(
            pattern,
            entries=entries,
            engines=engines,
            seed=seed,
            is_coordinated=is_coordinated,
        )
        found.append(replay.play())
    return found, time.process_time() - started


def _line(pattern: Pattern, entries: int, way: str, found: list[Totals]) -> str:
    worths = [totals.worth for totals in found]
    in_time = " ".join(
        f"{mean(totals.part_in_time(kind) for totals in found):.3f}" for kind in KINDS
    )
    spread = stdev(worths) if len(worths) > 1 else 0.0
    refusals = sum(totals.refusals for totals in found)
    free = sum(totals.free_at_refusal for totals in found) / max(refusals, 1)
    sent = mean(totals.messages for totals in found) / entries / pattern.length_s
    size = mean(totals.bytes for totals in found) / entries / pattern.length_s / 1000
    return (
        f"| {pattern.name} | {entries} | {way} | {mean(worths):.3f} ({spread:.3f}) "
        f"| {in_time} | {refusals / len(found):.0f} | {free:.0f} "
        f"| {sent:.0f} | {size:.1f} |"
    )


@click.command()
@click.option("--seeds", default=3, help="Replays of each row.")
@click.option("--engines", default=39, help="Engines at the start.")
@click.option("--entries", multiple=True, type=int, default=SIZES)
@click.option("--only", default="", help="Part of a pattern's name.")
def main(*, seeds: int, engines: int, entries: tuple[int, ...], only: str) -> None:
    """Print a table: each entry alone against one that gives out all places."""
    click.echo(
        "| pattern | entries | places | worth (deviation) | in time: draft brief chat "
        "| refusals | places free at a refusal | messages/s | KB/s |\n"
        "|---|---|---|---|---|---|---|---|---|"
    )
    for pattern in PATTERNS:
        if only not in pattern.name:
            continue
        for count in entries:
            for is_coordinated in (False, True) if count > 1 else (False,):
                way = "coordinated" if is_coordinated else "alone"
                found, _ = _play(
                    pattern,
                    count,
                    range(1, seeds + 1),
                    is_coordinated=is_coordinated,
                    engines=engines,
                )
                click.echo(_line(pattern, count, way, found))


if __name__ == "__main__":
    main()
