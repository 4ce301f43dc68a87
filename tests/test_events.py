"""The events in the code match their catalogue, docs/EVENTS.md."""

from __future__ import annotations

import re
from pathlib import Path

from dockreach.events import Event, level_name

CATALOGUE = Path(__file__).parent.parent / "docs" / "EVENTS.md"
CATALOGUE_ROW = re.compile(r"^\| (\d+) \| (\w+) \| (\w+) \|", re.MULTILINE)


def test_catalogue_lists_every_event_with_its_level() -> None:
    documented = {
        (int(n), name, level)
        for n, name, level in CATALOGUE_ROW.findall(CATALOGUE.read_text())
    }
    defined = {(int(event), event.name.lower(), level_name(event)) for event in Event}
    assert documented == defined


def test_every_event_is_used_by_the_code() -> None:
    root = CATALOGUE.parent.parent
    paths = [*(root / "dockreach").rglob("*.py"), *(root / "platform").rglob("*.py")]
    code = "".join(path.read_text() for path in paths if path.name != "events.py")
    assert [event.name for event in Event if f"Event.{event.name}" not in code] == []
