"""The catalogue of events and the code agree."""

from __future__ import annotations

import re
from pathlib import Path

from dockreach.events import Event, level_of

PAGE = Path(__file__).parent.parent / "docs" / "EVENTS.md"
ROW = re.compile(r"^\| (\d+) \| (\w+) \| (\w+) \|", re.MULTILINE)


def test_the_page_lists_every_event_with_its_level() -> None:
    listed = {(int(n), name, level) for n, name, level in ROW.findall(PAGE.read_text())}
    known = {(int(event), event.name.lower(), level_of(event)) for event in Event}
    assert listed == known


def test_every_event_is_logged_somewhere() -> None:
    root = PAGE.parent.parent
    paths = [*(root / "dockreach").rglob("*.py"), *(root / "platform").rglob("*.py")]
    code = "".join(path.read_text() for path in paths if path.name != "events.py")
    assert [event.name for event in Event if f"Event.{event.name}" not in code] == []
