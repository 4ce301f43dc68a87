"""One request's way: checks, a place at an endpoint, attempts, and the answer."""

from __future__ import annotations

import enum
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Protocol

import eventlet

from ..errors import DockreachError
from ..events import Event, log
from ..verdict import Reason, Refusal, Verdict
from .dialect import Dialect
from .dispatching import Job, patience_s
from .endpoints import EndpointRow, EndpointTable
from .event_stream import CONTENT_TYPE, EventSplitter
from .fleet import Organisation, Repeat, Revision, Route
from .http1 import (
    AnswerError,
    ConnectError,
    EndpointConnection,
    RawHead,
    end_to_end,
)
from .pool import ConnectionPool
from .requests import AnswerHead, InboundRequest, Standing
from .retrying import RetryBudget
from .scheduling import Scheduler
from .spending import SpendTable

BUFFER_BYTES = 1 << 20
"""Answers up to this size are read whole before they are passed on, so that one that is
cut off can be asked for again."""

FIRST_SILENCE = 2.5
"""Objectives without a first event after which a stream that may be resumed is tried at
another endpoint. Callers give up after four."""

GAP_SILENCE = 3.0
"""Gap objectives without an event after which a stream that may be resumed is resumed at
another endpoint."""

PLAIN_SILENCE = 2.0
"""Objectives without an answer after which a repeatable request is tried elsewhere."""

MOST_CONNECTS = 4
"""Endpoints that are tried for a connection before a request is refused."""

SERVER_ERRORS = range(500, 600)

FALLBACK_RETRY_S = 0.5
"""Time after which a caller is told to come back where nothing better is known."""


class _TimeIsUpError(DockreachError):
    """The caller's deadline, or the route's timeout, has passed."""


class _SilentError(DockreachError):
    """An endpoint sent nothing for too long; the request may be tried elsewhere."""


class CallerSide(Protocol):
    """Where the answer goes."""

    head_sent: bool

    def send_head(self, head: RawHead) -> None:
        """Send the head."""

    def send_data(self, data: bytes) -> None:
        """Send a piece of the body."""

    def send_whole(self, head: RawHead, body: bytes) -> None:
        """Send a whole answer."""

    def end(self) -> None:
        """Mark the answer as complete."""

    def abort(self) -> None:
        """Break the answer off, so that it cannot look complete."""


class Fate(enum.StrEnum):
    """How one attempt at an endpoint ended."""

    DELIVERED = "delivered"
    """The caller has the whole answer."""

    NOT_SENT = "not_sent"
    """No connection came up."""

    NOT_RUN = "not_run"
    """The endpoint says that it has not run the request."""

    FAILED = "failed"
    """The endpoint ran it and answered with an error."""

    LOST = "lost"
    """No whole answer came; the request may have run."""


@dataclass(slots=True)
class Attempt:
    """One attempt's result.

    Attributes:
        answer: Head and body of an answer that was not passed on.
    """

    fate: Fate
    endpoint: str
    detail: str = ""
    answer: tuple[RawHead, bytes] | None = None


@dataclass(slots=True)
class Counters:
    """Counts of the direct path since the start."""

    requests: int = 0
    answered: int = 0
    refused: int = 0
    lost: int = 0
    cut: int = 0
    callers_gone: int = 0
    retries: int = 0
    resumes: int = 0
    late_answers: int = 0


@dataclass(slots=True)
class Fleet:
    """What an entry knows and uses, shared by all its requests."""

    dialect: Dialect
    endpoints: EndpointTable
    scheduler: Scheduler
    spending: SpendTable
    retries: RetryBudget
    pool: ConnectionPool
    counters: Counters = field(default_factory=Counters)
    entries: int = 1
    """Entries that may be alive, this one included."""

    @staticmethod
    def now() -> float:
        """Return the steady time, in seconds."""
        return time.monotonic()


class Exchange:
    """One request from its arrival to its final answer.

    Args:
        fleet: What the entry knows.
        revision: The configuration in force at the arrival.
        req: The request.
        caller: Where the answer goes.
    """

    def __init__(
        self, fleet: Fleet, revision: Revision, req: InboundRequest, caller: CallerSide
    ) -> None:
        self._fleet = fleet
        self._revision = revision
        self._req = req
        self._caller = caller
        self._attempts: list[Attempt] = []
        self._sent = 0
        self._may_have_run = False
        self._last_event = req.last_event_id
        self._stream_head: RawHead | None = None
        self._last_answer: tuple[RawHead, bytes] | None = None

    def run(self) -> None:
        """Answer the request.

        Raises:
            CallerGoneError: The caller closed its connection.
        """
        self._fleet.counters.requests += 1
        refusal = self._answer()
        if refusal is None:
            self._fleet.counters.answered += 1
            self._log(Event.REQUEST_ANSWERED)
            return
        self._refuse(refusal)

    def _answer(self) -> Refusal | None:
        """Answer the request; return a refusal where there is no answer."""
        req = self._req
        route = self._revision.match(req.host, req.path)
        if route is None:
            return Refusal(Verdict.NOT_RUN, Reason.UNKNOWN_SERVICE)
        organisation = self._revision.organisation_of(req.key)
        if organisation is None and self._revision.organisations and not route.is_public:
            return Refusal(Verdict.NOT_RUN, Reason.BAD_KEY)
        if not req.rid:
            return Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, "no request id")
        job = self._job(route, organisation)
        self._fleet.retries.count_request(job.service, self._fleet.now())
        tokens = self._tokens(organisation)
        if organisation is not None:
            wait_s = self._fleet.spending.admit(organisation, tokens, self._fleet.now())
            if wait_s is not None:
                return Refusal(Verdict.NOT_RUN, Reason.LIMIT, retry_after_s=wait_s)
        refusal = self._within_time(job)
        was_not_run = refusal is not None and not self._may_have_run
        if was_not_run and organisation is not None:
            self._fleet.spending.refund(organisation, tokens, self._fleet.now())
        return refusal

    def _job(self, route: Route, organisation: Organisation | None) -> Job:
        req = self._req
        self._ends = req.arrived + route.timeout_s
        if req.deadline_s is not None:
            self._ends = min(self._ends, req.arrived + req.deadline_s)
        self._route = route
        self._organisation = organisation.name if organisation else ""
        own_tier = organisation.tier if organisation else None
        tier = route.tier if own_tier is None else own_tier
        return Job(
            rid=req.rid,
            route=route,
            service=route.service_for(req.rid),
            rank=(route.tier, tier),
            prompt_tokens=req.prompt_tokens,
            most_tokens=req.most_tokens,
            prefix=req.prefix,
            arrived=req.arrived,
            give_up=req.arrived + patience_s(route, self._ends - req.arrived),
        )

    def _tokens(self, organisation: Organisation | None) -> int:
        if self._req.has_token_counts:
            return self._req.prompt_tokens + self._req.most_tokens
        return organisation.plain_tokens if organisation else 0

    def _within_time(self, job: Job) -> Refusal | None:
        left_s = max(self._ends - self._fleet.now(), 0.0)
        try:
            with eventlet.Timeout(left_s, _TimeIsUpError("time is up")):
                return self._attempt_all(job)
        except _TimeIsUpError:
            verdict = Verdict.MAY_HAVE_RUN if self._may_have_run else Verdict.NOT_RUN
            reason = Reason.DEADLINE if self._may_have_run else Reason.SHED
            return Refusal(verdict, reason, retry_after_s=FALLBACK_RETRY_S)

    def _attempt_all(self, job: Job) -> Refusal | None:
        connects = 0
        while True:
            found = self._fleet.scheduler.place(job)
            if isinstance(found, Refusal):
                return self._final(found)
            had_run = self._may_have_run
            try:
                attempt = self._attempt(found)
            finally:
                self._fleet.scheduler.release(job)
            if attempt.fate is Fate.NOT_RUN:
                self._may_have_run = had_run
            self._attempts.append(attempt)
            job.tried.add(found.id)
            if attempt.fate is Fate.DELIVERED:
                return None
            self._log_attempt(attempt)
            if attempt.fate is Fate.NOT_SENT:
                connects += 1
                if connects < MOST_CONNECTS:
                    continue
                no_way = Refusal(Verdict.NOT_RUN, Reason.NO_ENDPOINT)
                return self._final(no_way._replace(retry_after_s=FALLBACK_RETRY_S))
            if not self._may_go_on(attempt, job):
                return self._final(self._verdict_on(attempt))

    def _may_go_on(self, attempt: Attempt, job: Job) -> bool:
        """Return whether the request may be sent to another endpoint."""
        self._sent += 1
        if attempt.answer is not None:
            self._last_answer = attempt.answer
        if attempt.fate is not Fate.NOT_RUN and self._route.repeat is Repeat.NEVER:
            return False
        if self._sent >= self._route.max_attempts:
            return False
        fleet = self._fleet
        if not fleet.retries.take(job.service, fleet.entries, fleet.now()):
            return False
        fleet.counters.retries += 1
        job.give_up = fleet.now() + patience_s(self._route, self._ends - fleet.now())
        return True

    def _verdict_on(self, attempt: Attempt) -> Refusal:
        if self._may_have_run:
            return Refusal(Verdict.MAY_HAVE_RUN, Reason.ENGINE_LOST, attempt.detail)
        return Refusal(
            Verdict.NOT_RUN,
            Reason.ENGINE_REFUSED,
            attempt.detail,
            retry_after_s=FALLBACK_RETRY_S,
        )

    def _final(self, refusal: Refusal) -> Refusal | None:
        """Pass on an endpoint's own failure where there is one, else refuse."""
        if self._last_answer is None or self._caller.head_sent:
            if self._may_have_run and refusal.verdict is Verdict.NOT_RUN:
                return Refusal(Verdict.MAY_HAVE_RUN, Reason.ENGINE_LOST)
            return refusal
        self._caller.send_whole(*self._last_answer)
        return None

    def _attempt(self, row: EndpointRow) -> Attempt:
        """Send the request to one endpoint and pass on its answer if it is one."""
        try:
            conn = self._fleet.pool.get(row.published.address)
        except ConnectError as exc:
            row.failed(self._fleet.now())
            return Attempt(Fate.NOT_SENT, row.id, str(exc))
        kept_s: float | None = 0.0
        sent = self._fleet.now()
        try:
            answer = self._send(conn, row, sent)
            attempt = self._pass_on(conn, row, answer, sent)
            kept_s = answer.kept_s
        except (AnswerError, _SilentError) as exc:
            row.failed(self._fleet.now())
            return Attempt(Fate.LOST, row.id, str(exc))
        finally:
            self._fleet.pool.put(conn, kept_s)
        return attempt

    def _send(self, conn: EndpointConnection, row: EndpointRow, now: float) -> AnswerHead:
        """Send the request and read the head of its answer.

        Raises:
            AnswerError: The connection broke, or the answer is of another request.
        """
        req = self._req
        headers = self._fleet.dialect.endpoint_headers(
            req,
            row.published,
            organisation=self._organisation,
            left_s=max(self._ends - now, 0.0),
            resume_after=self._last_event,
        )
        self._may_have_run = True
        conn.send(req.method, req.target, headers, req.body if req.has_body else None)
        with self._silence(self._first_limit_s()):
            return self._own_head(conn)

    def _own_head(self, conn: EndpointConnection) -> AnswerHead:
        while True:
            head = self._fleet.dialect.read_answer(conn.read_head())
            if head.rid == self._req.rid:
                return head
            if not head.rid and head.standing is not Standing.RAN:
                return head
            if not head.rid:
                raise AnswerError(f"{conn.address}: answer without an id")
            self._fleet.counters.late_answers += 1
            conn.skip_answer()

    def _first_limit_s(self) -> float | None:
        """Return how long to wait for an answer's head, in seconds."""
        route = self._route
        if route.repeat is Repeat.NEVER or self._sent + 1 >= route.max_attempts:
            return None
        factor = FIRST_SILENCE if route.is_stream else PLAIN_SILENCE
        return factor * route.objective_s

    def _gap_limit_s(self) -> float | None:
        route = self._route
        if route.repeat is not Repeat.RESUME or self._sent + 1 >= route.max_attempts:
            return None
        return max(GAP_SILENCE * route.gap_objective_s, route.objective_s)

    @contextmanager
    def _silence(self, limit_s: float | None) -> Iterator[None]:
        if limit_s is None:
            yield
            return
        with eventlet.Timeout(limit_s, _SilentError(f"silent for {limit_s:.1f} s")):
            yield

    def _pass_on(
        self, conn: EndpointConnection, row: EndpointRow, head: AnswerHead, sent: float
    ) -> Attempt:
        if head.standing is Standing.OTHER_ENDPOINT:
            self._read_body(conn)
            row.failed(self._fleet.now())
            return Attempt(Fate.NOT_RUN, row.id, "another endpoint has the address")
        if head.standing is Standing.NOT_RUN:
            self._read_body(conn)
            return Attempt(Fate.NOT_RUN, row.id, f"endpoint refused: {head.status}")
        raw = RawHead(head.status, head.reason, end_to_end(head.headers))
        if self._is_event_stream(head):
            return self._pass_stream(conn, row, raw, sent)
        body = self._read_body(conn)
        row.succeeded()
        if head.status in SERVER_ERRORS:
            return Attempt(Fate.FAILED, row.id, f"status {head.status}", (raw, body))
        if self._caller.head_sent:
            return Attempt(Fate.FAILED, row.id, f"status {head.status} on resuming")
        row.learn_plain(self._fleet.now() - sent)
        self._caller.send_whole(raw, body)
        return Attempt(Fate.DELIVERED, row.id)

    @staticmethod
    def _is_event_stream(head: AnswerHead) -> bool:
        types = [value for name, value in head.headers if name.lower() == b"content-type"]
        return head.status == 200 and any(CONTENT_TYPE in value for value in types)

    def _read_body(self, conn: EndpointConnection) -> bytes:
        """Read a whole body.

        Raises:
            AnswerError: It was cut off, or is too large to be kept.
        """
        parts: list[bytes] = []
        size = 0
        while (data := conn.read_data()) is not None:
            parts.append(data)
            size += len(data)
            if size > BUFFER_BYTES:
                raise AnswerError(f"{conn.address}: answer over {BUFFER_BYTES} bytes")
        return b"".join(parts)

    def _pass_stream(
        self, conn: EndpointConnection, row: EndpointRow, head: RawHead, sent: float
    ) -> Attempt:
        """Pass a stream's events on as they come.

        Raises:
            AnswerError: The stream was cut off.
        """
        splitter = EventSplitter()
        events = 0
        first = last = sent
        limit_s = self._first_limit_s()
        while True:
            with self._silence(limit_s):
                data = conn.read_data()
            if data is None:
                break
            found = splitter.feed(data)
            if not found:
                continue
            last = self._fleet.now()
            if not events:
                first = last
                row.succeeded()
                row.learn_first(self._req.prompt_tokens, first - sent)
                self._keep_prefix(row, last)
                limit_s = self._gap_limit_s()
            events += len(found)
            self._start_stream(head)
            for event in found:
                self._last_event = event.id or self._last_event
            self._caller.send_data(b"".join(event.data for event in found))
        if splitter.rest and not conn.is_framed:
            raise AnswerError(f"{conn.address}: closed within an event")
        if events > 1:
            row.learn_gap((last - first) / (events - 1))
        self._start_stream(head)
        self._caller.send_data(splitter.rest)
        self._caller.end()
        return Attempt(Fate.DELIVERED, row.id)

    def _start_stream(self, head: RawHead) -> None:
        """Send the head before the first event; a resumed stream keeps its first head."""
        if not self._caller.head_sent:
            self._caller.send_head(head)

    def _keep_prefix(self, row: EndpointRow, now: float) -> None:
        for part, _ in self._req.prefix:
            row.prefixes[part] = now

    def _refuse(self, refusal: Refusal) -> None:
        counters = self._fleet.counters
        if self._caller.head_sent:
            counters.cut += 1
            self._log(Event.REQUEST_CUT, refusal)
            self._caller.abort()
            return
        if refusal.verdict is Verdict.NOT_RUN:
            counters.refused += 1
            self._log(Event.REQUEST_REFUSED, refusal)
        else:
            counters.lost += 1
            self._log(Event.REQUEST_LOST, refusal)
        self._caller.send_whole(*self._fleet.dialect.refusal(refusal, self._req.rid))

    def _log(self, event: Event, refusal: Refusal | None = None) -> None:
        last = self._attempts[-1] if self._attempts else None
        log(
            event,
            rid=self._req.rid,
            revision=self._revision.number,
            reason=refusal.reason.value if refusal is not None else "",
            detail=refusal.detail if refusal is not None else "",
            endpoint=last.endpoint if last else "",
            attempts=len(self._attempts),
            held_ms=round((self._fleet.now() - self._req.arrived) * 1000),
        )

    def _log_attempt(self, attempt: Attempt) -> None:
        log(
            Event.ATTEMPT_ENDED,
            rid=self._req.rid,
            endpoint=attempt.endpoint,
            fate=attempt.fate.value,
            detail=attempt.detail,
            held_ms=round((self._fleet.now() - self._req.arrived) * 1000),
        )
