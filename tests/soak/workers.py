"""Stand-in endpoints that can crash, leave and restart, and that log every request."""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet

from tests.direct.standins import Dialog, EndpointStandIn, header_of

from .clients import DEADLY
from .proxy import Proxy

SLOTS = 6
WORK_S = 0.03
"""Time that a plain request takes, in seconds."""

DEADLY_S = 0.02
"""How long an endpoint works on a request that crashes it, in seconds."""

GAP_S = 0.02
"""Time between the events of a stream, in seconds."""

NO_LIMIT = math.inf

LATE_SLOTS = 6
"""Requests beyond its slots that an endpoint accepts before it rejects more."""


@dataclass(slots=True)
class Run:
    """One run of a request, as the endpoint saw it.

    Attributes:
        rid: The id of the request.
        worker: Name of the endpoint.
        tokens: Tokens that count against the organisation's limit.
        began: Monotonic time, in seconds.
        ended: Monotonic time at which the endpoint stopped working on it, in seconds.
    """

    rid: str
    worker: str
    service: str
    organisation: str
    tokens: int
    began: float
    ended: float = 0.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes:
        worker: The incarnation of the endpoint that it reached, see `Worker.incarnation`.
        at: Monotonic time, in seconds.
    """

    rid: str
    worker: str
    at: float


@dataclass(frozen=True, slots=True)
class Word:
    """What an endpoint announced about itself in the headers of a response.

    Attributes:
        rid: The id of the request.
        worker: The incarnation of the endpoint, see `Worker.incarnation`.
        at: Monotonic time of the response, in seconds.
        limit: Requests per second that it accepts; `NO_LIMIT` if it advertised no limit.
        limit_until: Monotonic time until which it advertises that limit, in seconds.
        is_leaving: Whether it announced that it leaves.
        backoff_s: How long the entry must not send to it, in seconds; 0 if it may.
    """

    rid: str
    worker: str
    at: float
    limit: float
    limit_until: float
    is_leaving: bool
    backoff_s: float


@dataclass(slots=True)
class Record:
    """Everything that happened at all endpoints.

    Attributes:
        runs: Requests that endpoints ran.
        arrivals: Requests that reached them, run or not, except those addressed to another
            endpoint.
        words: Notices that they sent, including empty ones after the first.
    """

    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    words: list[Word] = field(default_factory=list)


def length_of(rid: str) -> int:
    """Return the number of events in the stream of a request."""
    return 5 + sum(rid.encode()) % 20


def event_of(rid: str, number: int) -> bytes:
    """Return one event of the stream of a request."""
    return f"id: {number}\ndata: {rid} {number}\n\n".encode()


def answer_of(rid: str) -> bytes:
    """Return the body of the response to a plain request."""
    return f"answer to {rid}".encode()


class Worker:
    """One incarnation of a stand-in endpoint, behind a proxy.

    Attributes:
        name: The id under which the endpoint is published.
        hall: The data hall of the endpoint.
        born: Start time, in milliseconds; 0 if it does not publish one.
        failing: Fraction of its requests to which it responds with 500.
        slowness: Factor by which it is slower than usual.
        limit: Requests per second that it advertises in responses; `NO_LIMIT` for none.
        limited_until: Monotonic time until which it advertises that limit, in seconds.
        is_leaving: Whether it announces in responses that it leaves.
        rest_s: Back-off that it asks for when it rejects a request, in seconds.
        turning_away: Fraction of its requests that it rejects.
        on_deadly: Called with its name when a request crashes it; if None, such requests
            are harmless.
    """

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        rng: random.Random,
        *,
        hall: str = "hall1",
        born: int = 0,
    ) -> None:
        self.name = name
        self.hall = hall
        self.born = born
        self.service = service
        self.failing = 0.0
        self.slowness = 1.0
        self.limit = NO_LIMIT
        self.limited_until = 0.0
        self.is_leaving = False
        self.rest_s = 0.0
        self.turning_away = 0.0
        self._has_said = False
        self._record = record
        self._rng = rng
        self.on_deadly: Callable[[str], None] | None = None
        self._running = 0
        self._stand_in = EndpointStandIn(self._serve)
        self.proxy = Proxy(self._stand_in.address)

    @property
    def life(self) -> str:
        """Identifies this incarnation among others with the same id."""
        return f"{self.name}/{self.born}" if self.born else self.name

    def crash(self) -> None:
        """Reset all connections and stop listening."""
        self._stand_in.close()
        for dialog in self._stand_in.dialogs:
            dialog.reset()

    def go_dark(self) -> None:
        """Stop responding on open connections and accept no new ones."""
        self._stand_in.close()
        self.proxy.mute()

    def _serve(self, dialog: Dialog) -> None:
        expected = header_of(dialog.request, b"expected-instance")
        if expected != self.name.encode():
            dialog.respond(b"", b"421 Misdirected Request")
            return
        self._record.arrivals.append(
            Arrival(dialog.rid.decode(), self.life, time.monotonic())
        )
        is_rejected = self.turning_away and self._rng.random() < self.turning_away
        if is_rejected or self._running >= SLOTS + LATE_SLOTS:
            headers = b"Not-Executed: 1\r\n" + self._say(dialog, self.rest_s)
            dialog.respond(b"", b"503 Service Unavailable", headers)
            return
        self._running += 1
        try:
            self._run(dialog)
        finally:
            self._running -= 1

    def _run(self, dialog: Dialog) -> None:
        run = self._note(dialog)
        try:
            self._serve_run(dialog)
        finally:
            run.ended = time.monotonic()

    def _serve_run(self, dialog: Dialog) -> None:
        if self.on_deadly is not None and DEADLY in dialog.request:
            eventlet.sleep(DEADLY_S)
            eventlet.spawn_n(self.on_deadly, self.name)
            eventlet.sleep(WORK_S)
            return
        path = dialog.request.split(b" ", 2)[1].decode()
        if self._rng.random() < self.failing:
            headers = self._say(dialog)
            dialog.respond(b"failed", b"500 Internal Server Error", headers)
            return
        serve: Callable[[Dialog], None] = self._plain
        if path.startswith(("/draft/", "/brief/")):
            serve = self._stream
        serve(dialog)

    def _say(self, dialog: Dialog, backoff_s: float = 0.0) -> bytes:
        """Return the status headers for a response, and log them as a notice."""
        now = time.monotonic()
        limit = self.limit if now < self.limited_until else NO_LIMIT
        headers = b""
        if limit < NO_LIMIT:
            headers += f"Server-Limit: {limit}\r\n".encode()
        if self.is_leaving:
            headers += b"Server-Leaving: 1\r\n"
        if backoff_s:
            headers += f"Retry-After: {backoff_s}\r\n".encode()
        self._has_said = self._has_said or bool(headers)
        if self._has_said:
            rid = dialog.rid.decode()
            notice = Word(
                rid, self.life, now, limit, self.limited_until, self.is_leaving, backoff_s
            )
            self._record.words.append(notice)
        return headers

    def _note(self, dialog: Dialog) -> Run:
        counts = (header_of(dialog.request, b"token-counts") or b"0,0").split(b",")
        run = Run(
            rid=dialog.rid.decode(),
            worker=self.name,
            service=self.service,
            organisation=(header_of(dialog.request, b"tenant-id") or b"").decode(),
            tokens=sum(int(count) for count in counts),
            began=time.monotonic(),
        )
        self._record.runs.append(run)
        return run

    def _plain(self, dialog: Dialog) -> None:
        eventlet.sleep(WORK_S * self.slowness)
        dialog.respond(answer_of(dialog.rid.decode()), extra=self._say(dialog))

    def _stream(self, dialog: Dialog) -> None:
        rid = dialog.rid.decode()
        after = int(header_of(dialog.request, b"last-event-id") or 0)
        dialog.start_stream(self._say(dialog))
        for number in range(after + 1, length_of(rid) + 1):
            eventlet.sleep(GAP_S * self.slowness)
            dialog.chunk(event_of(rid, number))
        dialog.chunk(b"")
