"""Endpoints that keep a record of what they ran, and come and go."""

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
DEADLY_S = 0.02
"""How long an endpoint works on a request that ends it, in seconds."""

GAP_S = 0.02
NO_LIMIT = math.inf
LATE_SLOTS = 6
"""Requests beyond its places that an endpoint lets wait before it refuses."""


@dataclass(slots=True)
class Run:
    """One run of a request, as the endpoint saw it.

    Attributes:
        began: Steady time, in seconds.
        ended: Steady time at which the endpoint stopped to work on it, in seconds.
        tokens: What it counts against its organisation's limit.
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
    """A request that reached an endpoint, at a steady time in seconds.

    Attributes:
        worker: The life of the endpoint that it reached.
    """

    rid: str
    worker: str
    at: float


@dataclass(frozen=True, slots=True)
class Word:
    """What an endpoint said of itself in the head of an answer.

    Attributes:
        rid: The request that was answered.
        worker: The life of the endpoint that said it.
        at: Steady time of the answer, in seconds.
        limit: Requests a second that it takes; `NO_LIMIT` if it named none.
        until: Steady time until which it names that limit, in seconds.
        rest_s: How long it wants nothing from that entry, in seconds; 0 if not.
    """

    rid: str
    worker: str
    at: float
    limit: float
    until: float
    is_leaving: bool
    rest_s: float


@dataclass(slots=True)
class Record:
    """All runs at all endpoints.

    Attributes:
        arrivals: What reached them, run or not, but for what was not meant for them.
        words: What they said of themselves, and that they said nothing any more.
    """

    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    words: list[Word] = field(default_factory=list)


def length_of(rid: str) -> int:
    """Return how many events the stream of a request has."""
    return 5 + sum(rid.encode()) % 20


def event_of(rid: str, number: int) -> bytes:
    """Return one event of the stream of a request."""
    return f"id: {number}\ndata: {rid} {number}\n\n".encode()


def answer_of(rid: str) -> bytes:
    """Return the body that answers a plain request."""
    return f"answer to {rid}".encode()


class Worker:
    """One start of an endpoint, behind a proxy.

    Attributes:
        hall: The data hall that it stands in.
        born: Time of its start, in milliseconds; 0 if it does not tell.
        failing: Part of its requests that it answers with 500.
        slowness: How many times as long as usual it takes.
        limit: Requests a second that it names in its answers; `NO_LIMIT` for none.
        limited_until: Steady time until which it names that, in seconds.
        is_leaving: Whether it says in its answers that it leaves.
        rest_s: Time for which it wants nothing when it turns a request away, in seconds.
        turning_away: Part of its requests that it turns away.
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
        """Names this start, apart from others under its id."""
        return f"{self.name}/{self.born}" if self.born else self.name

    def crash(self) -> None:
        """Cut everything and stop to listen."""
        self._stand_in.close()
        for dialog in self._stand_in.dialogs:
            dialog.reset()

    def go_dark(self) -> None:
        """Say nothing more on any connection, and take no new one."""
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
        is_refused = self.turning_away and self._rng.random() < self.turning_away
        if is_refused or self._running >= SLOTS + LATE_SLOTS:
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

    def _say(self, dialog: Dialog, rest_s: float = 0.0) -> bytes:
        """Return the headers in which it says something of itself; keep what it says."""
        now = time.monotonic()
        limit = self.limit if now < self.limited_until else NO_LIMIT
        headers = b""
        if limit < NO_LIMIT:
            headers += f"Server-Limit: {limit}\r\n".encode()
        if self.is_leaving:
            headers += b"Server-Leaving: 1\r\n"
        if rest_s:
            headers += f"Retry-After: {rest_s}\r\n".encode()
        self._has_said = self._has_said or bool(headers)
        if self._has_said:
            rid = dialog.rid.decode()
            word = Word(
                rid, self.life, now, limit, self.limited_until, self.is_leaving, rest_s
            )
            self._record.words.append(word)
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
