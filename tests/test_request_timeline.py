"""The timeline of a request, built from logs."""

from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner

from dockreach.cli import main
from dockreach.events import Event
from dockreach.request_timeline import build_timeline, parse_lines


def log_line(second: float, event: Event, daemon: str = "entry-1", **fields: object) -> str:
    return json.dumps(
        {
            "time": f"2026-05-02 02:46:{second:06.3f}".replace(".", ","),
            "level": "INFO",
            "message": event.name.lower().replace("_", " "),
            "daemon": daemon,
            "event": int(event),
            "name_of_event": event.name.lower(),
            **fields,
        }
    )


LOG = [
    log_line(1.0, Event.ENDPOINT_GONE, endpoint="i-9"),
    log_line(4.0, Event.PEER_DOWN, peer="entry-2"),
    log_line(4.1, Event.PEER_DOWN, daemon="entry-3", peer="entry-2"),
    log_line(4.2, Event.ATTEMPT_ENDED, rid="other", endpoint="i-1", fate="lost"),
    log_line(4.3, Event.ATTEMPT_ENDED, rid="another", endpoint="i-2", fate="lost"),
    log_line(5.0, Event.ATTEMPT_ENDED, rid="r-1", endpoint="i-1", fate="lost", held_ms=400),
    log_line(5.1, Event.REQUEST_LOST, rid="r-1", endpoint="i-1", held_ms=500),
    log_line(6.0, Event.STOPPING),
]


def test_timeline_has_own_lines_and_related_lines_of_the_same_daemon() -> None:
    timeline = build_timeline(parse_lines(LOG), "r-1")
    events = [(row.event, row.rid) for row in timeline]
    assert events == [
        (Event.PEER_DOWN, ""),
        (Event.ATTEMPT_ENDED, "other"),
        (Event.ATTEMPT_ENDED, "r-1"),
        (Event.REQUEST_LOST, "r-1"),
    ]


def test_other_output_and_prefixes_of_lines_are_ignored() -> None:
    texts = ["Traceback (most recent call last):", "{broken", "{}", f"  5.1 front {LOG[6]}"]
    assert [row.rid for row in parse_lines(texts)] == ["r-1"]


def test_story_command_prints_the_timeline_and_fails_for_an_unknown_request(
    tmp_path: Path,
) -> None:
    log = tmp_path / "entry.log"
    log.write_text("\n".join(LOG))
    result = CliRunner().invoke(main, ["story", "r-1", str(log)])
    assert result.exit_code == 0
    assert "request lost" in result.output
    assert "another" not in result.output
    assert CliRunner().invoke(main, ["story", "r-2", str(log)]).exit_code == 1
