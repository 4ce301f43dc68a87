"""An entry of the agent path: how it reads the platform."""

from __future__ import annotations

from pathlib import Path

import pytest

from dockreach.direct.feeds import CallLimits
from dockreach.entry_node import SETTLE_S, EntryNode
from dockreach.errors import PlatformError
from dockreach.settings import parse

EXAMPLE = Path(__file__).parent.parent / "examples" / "entry.ini"


class _StopError(Exception):
    """Ends the loop under test."""


def calls_of(node: EntryNode, monkeypatch: pytest.MonkeyPatch, count: int) -> list[float]:
    """Return how long each of some calls may be held that are never answered."""
    held: list[float] = []

    def watch(after: int, limits: CallLimits) -> str | None:
        del after
        held.append(limits.wait_s + limits.read_timeout_s)
        if len(held) == count:
            raise _StopError
        raise PlatformError("silent")

    monkeypatch.setattr(node.platform, "watch_config", watch)
    monkeypatch.setattr("dockreach._green.sleep", lambda seconds: None)
    with pytest.raises(_StopError):
        node._watch_config()
    return held


@pytest.mark.parametrize("setting", ["", "watch_s = 60", "watch_s = 2"])
def test_no_call_for_the_configuration_outlasts_the_time_to_settle(
    monkeypatch: pytest.MonkeyPatch, setting: str
) -> None:
    text = EXAMPLE.read_text().replace("[platform]", f"[platform]\n{setting}")
    node = EntryNode(parse(text))
    held = calls_of(node, monkeypatch, 4)
    assert max(held) < 0.85 * SETTLE_S
    assert min(held) > 1.0
