"""Plays a case: starts it, lets it judge, and ends all that it started."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Protocol

from entries import Entry
from standins import Worker

MAX_S = 110.0
"""Longest time that a case may take, in seconds."""

CANNOT_RUN = 2


class PlayedCase(Protocol):
    """What a case has.

    Attributes:
        entries: Its entries, which are stopped at the end.
        workers: Its workers.
    """

    entries: list[Entry]
    workers: list[Worker]

    async def start(self) -> None:
        """Start the store, the workers and the entries."""

    async def run(self) -> None:
        """Send the traffic, with or without the disruption."""

    def judge(self) -> int:
        """Write the record; return 1 if the rule was broken, 0 if it held, else 2."""


async def _play(make: type[PlayedCase]) -> int:
    loop = asyncio.get_running_loop()
    # Tasks of the stand-ins end with the loop, which asyncio would report one by one.
    loop.set_exception_handler(lambda *_: None)
    task = asyncio.current_task()
    if task is not None:
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    case = make()
    try:
        async with asyncio.timeout(MAX_S):
            await case.start()
            await case.run()
            return case.judge()
    finally:
        for entry in case.entries:
            entry.stop()
        for worker in case.workers:
            worker.end()


def play(make: type[PlayedCase], record: Path) -> None:
    """Play a case and exit with its result.

    Args:
        make: Makes the case.
        record: Where to write why it couldn't run.
    """
    try:
        sys.exit(asyncio.run(_play(make)))
    except (OSError, KeyError, TimeoutError, asyncio.CancelledError) as exc:
        record.write_text(f"could not run: {exc!r}\n")
        sys.exit(CANNOT_RUN)
