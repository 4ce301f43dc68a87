"""Timeline of one request, from the logs of the daemons that processed it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

import msgspec

from ._decoding import decode
from .errors import WireError
from .events import Event

LOG_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"

_STANDARD_FIELDS = {"time", "level", "message", "daemon", "event", "name_of_event", "rid"}

_REQUEST_EVENTS = range(Event.REQUEST_ANSWERED, Event.DIGEST_REFUSED)
"""Events of single requests; all other events concern the state of a daemon."""

_VALUES = msgspec.json.Decoder(dict[str, Any])


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log.

    Attributes:
        time: When the line was logged, on the daemon's own clock.
        daemon: Name of the daemon.
        event: Number of the event.
        message: Message of the line.
        rid: Id of the request; empty if the line concerns none.
        fields: All other fields of the line.
    """

    time: datetime
    daemon: str
    event: int
    message: str
    rid: str
    fields: dict[str, Any]

    @property
    def endpoint(self) -> str:
        """The endpoint that the line concerns; empty if none."""
        return str(self.fields.get("endpoint", ""))

    @property
    def request_age(self) -> timedelta:
        """Time from the arrival of the request to this line."""
        return timedelta(milliseconds=float(self.fields.get("held_ms", 0)))

    def __str__(self) -> str:
        """Return the line in readable form, without fields that are empty or zero."""
        rest = " ".join(f"{name}={value}" for name, value in self.fields.items() if value)
        return f"{self.time:%H:%M:%S.%f} {self.daemon} {self.event} {self.message} {rest}"


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Decode log lines; skip text before the JSON object, and lines without one.

    Args:
        texts: Lines of one or several logs.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            values = decode(_VALUES, text[start:].strip().encode(), WireError)
            yield _to_log_line(values)
        except (WireError, KeyError, ValueError, TypeError):
            # Not a log line, such as a line of a traceback, or a truncated one.
            continue


def _to_log_line(values: dict[str, Any]) -> LogLine:
    return LogLine(
        time=datetime.strptime(values["time"], LOG_TIME_FORMAT),
        daemon=values["daemon"],
        event=values["event"],
        message=values["message"],
        rid=values.get("rid", ""),
        fields={name: values[name] for name in values if name not in _STANDARD_FIELDS},
    )


def build_timeline(
    lines: Iterable[LogLine], rid: str, *, before_s: float = 3.0
) -> list[LogLine]:
    """Return the log lines that explain what happened to a request, sorted by time.

    These are the lines of the request and, from the same daemons and the same time span,
    changes of the daemon's state and failed attempts of other requests at the same
    endpoints. Lines of different daemons are ordered correctly only as far as the clocks of
    the daemons agree.

    Args:
        lines: Log lines of all daemons that may have processed the request.
        rid: Id of the request.
        before_s: How long before its arrival the timeline begins, in seconds.
    """
    all_lines = list(lines)
    own = [line for line in all_lines if line.rid == rid]
    spans = {line.daemon: _time_span(own, line.daemon, before_s) for line in own}
    endpoints = {line.endpoint for line in own if line.endpoint}
    selected = [
        line
        for line in all_lines
        if line.rid == rid
        or (_is_within_span(line, spans) and _is_related(line, endpoints))
    ]
    return sorted(selected, key=lambda line: line.time)


def _time_span(
    own: list[LogLine], daemon: str, before_s: float
) -> tuple[datetime, datetime]:
    """Return the time span that a daemon's part of the timeline covers."""
    of_daemon = [line for line in own if line.daemon == daemon]
    start = min(line.time - line.request_age for line in of_daemon) - timedelta(
        seconds=before_s
    )
    return start, max(line.time for line in of_daemon)


def _is_within_span(line: LogLine, spans: dict[str, tuple[datetime, datetime]]) -> bool:
    if line.daemon not in spans:
        return False
    start, end = spans[line.daemon]
    return start <= line.time <= end


def _is_related(line: LogLine, endpoints: set[str]) -> bool:
    """Return whether a line of another request or of none belongs to the timeline."""
    if line.event not in _REQUEST_EVENTS:
        return True
    return line.event == Event.ATTEMPT_ENDED and line.endpoint in endpoints
