"""One clock for all that ages, and it counts the time of a suspension."""

from __future__ import annotations

import time
from pathlib import Path

from dockreach import clock

ROOT = Path(__file__).parent.parent
STAND_INS = {"standin_platform.py", "standin_engine.py", "launching.py", "load.py"}
"""Stand-ins and what measures, which are no part of a daemon."""


def test_it_is_the_clock_since_boot() -> None:
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= clock.now() <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_no_daemon_takes_the_time_from_the_steady_clock() -> None:
    paths = [*(ROOT / "dockreach").rglob("*.py"), *(ROOT / "platform").rglob("*.py")]
    daemons = [path for path in paths if path.name not in STAND_INS | {"clock.py"}]
    assert [path.name for path in daemons if "monotonic" in path.read_text()] == []
