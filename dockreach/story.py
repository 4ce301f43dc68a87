"""One request's story, from the log lines of the daemons that it passed through."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

import msgspec

from .events import Event

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"

_SHOWN_APART = {"time", "level", "message", "daemon", "event", "name_of_event", "rid"}

_ABOUT_REQUESTS = range(Event.REQUEST_ANSWERED, Event.DIGEST_REFUSED)
"""Events of single requests; all others change what a daemon knows."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log.

    Attributes:
        fields: What the line says besides.
    """

    time: datetime
    daemon: str
    event: int
    message: str
    rid: str
    fields: dict[str, Any]

    @property
    def endpoint(self) -> str:
        """The endpoint that the line is about; empty if none."""
        return str(self.fields.get("endpoint", ""))

    @property
    def held(self) -> timedelta:
        """How long the request had been there by then."""
        return timedelta(milliseconds=float(self.fields.get("held_ms", 0)))

    def __str__(self) -> str:
        """Return the line for a reader."""
        told = " ".join(f"{name}={value}" for name, value in self.fields.items() if value)
        return f"{self.time:%H:%M:%S.%f} {self.daemon} {self.event} {self.message} {told}"


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Decode log lines; what stands before the JSON is left out, as are other lines.

    Args:
        texts: Lines, of one daemon or of many.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            found = msgspec.json.decode(text[start:].strip())
            yield _line(found)
        except (msgspec.DecodeError, KeyError, ValueError, TypeError):
            # Output of something else: a traceback, or a line that was cut off.
            continue


def _line(found: dict[str, Any]) -> LogLine:
    return LogLine(
        time=datetime.strptime(found["time"], TIME_FORMAT),
        daemon=found["daemon"],
        event=found["event"],
        message=found["message"],
        rid=found.get("rid", ""),
        fields={name: found[name] for name in found if name not in _SHOWN_APART},
    )


def story(lines: Iterable[LogLine], rid: str, *, before_s: float = 3.0) -> list[LogLine]:
    """Return the lines that tell what became of a request, in order of time.

    Besides its own lines these are, of the same daemons: changes of what they knew, and
    attempts of other requests that failed at the same endpoints. The clocks of daemons may
    differ, so that the order between daemons is only as good as they are.

    Args:
        lines: Of all daemons that it may have passed through.
        rid: The request's id.
        before_s: How long before its arrival to begin, in seconds.
    """
    everything = list(lines)
    own = [line for line in everything if line.rid == rid]
    spans = {line.daemon: _span(own, line.daemon, before_s) for line in own}
    endpoints = {line.endpoint for line in own if line.endpoint}
    found = [
        line
        for line in everything
        if line.rid == rid or (_is_near(line, spans) and _matters(line, endpoints))
    ]
    return sorted(found, key=lambda line: line.time)


def _span(own: list[LogLine], daemon: str, before_s: float) -> tuple[datetime, datetime]:
    here = [line for line in own if line.daemon == daemon]
    start = min(line.time - line.held for line in here) - timedelta(seconds=before_s)
    return start, max(line.time for line in here)


def _is_near(line: LogLine, spans: dict[str, tuple[datetime, datetime]]) -> bool:
    if line.daemon not in spans:
        return False
    start, end = spans[line.daemon]
    return start <= line.time <= end


def _matters(line: LogLine, endpoints: set[str]) -> bool:
    if line.event not in _ABOUT_REQUESTS:
        return True
    return line.event == Event.ATTEMPT_ENDED and line.endpoint in endpoints
