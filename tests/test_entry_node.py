"""How an entry of the agent path polls the platform."""

from __future__ import annotations

from pathlib import Path

import pytest

from dockreach.direct.feeds import CallLimits
from dockreach.entry_node import CONFIG_APPLY_DEADLINE_S, EntryNode
from dockreach.errors import PlatformError
from dockreach.settings import parse

EXAMPLE = Path(__file__).parent.parent / "examples" / "entry.ini"


class _StopError(Exception):
    """Ends the loop under test."""


def record_call_timeouts(
    node: EntryNode, monkeypatch: pytest.MonkeyPatch, count: int
) -> list[float]:
    """Return the timeouts of the first calls for the configuration, which all fail."""
    timeouts: list[float] = []

    def watch(after: int, limits: CallLimits) -> str | None:
        del after
        timeouts.append(limits.wait_s + limits.read_timeout_s)
        if len(timeouts) == count:
            raise _StopError
        raise PlatformError("no response")

    monkeypatch.setattr(node.platform, "watch_config", watch)
    monkeypatch.setattr("dockreach._green.sleep", lambda seconds: None)
    with pytest.raises(_StopError):
        node._watch_config()
    return timeouts


@pytest.mark.parametrize("setting", ["", "watch_s = 60", "watch_s = 2"])
def test_configuration_calls_end_within_the_apply_deadline(
    monkeypatch: pytest.MonkeyPatch, setting: str
) -> None:
    """A lost call must time out early enough for a retry before the deadline.

    Until its timeout, it looks like a long poll without changes.
    """
    text = EXAMPLE.read_text().replace("[platform]", f"[platform]\n{setting}")
    node = EntryNode(parse(text))
    timeouts = record_call_timeouts(node, monkeypatch, 4)
    assert max(timeouts) < 0.85 * CONFIG_APPLY_DEADLINE_S
    assert min(timeouts) > 1.0
