"""Forwards one request to endpoints, one after another, until one has responded to it."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager

import eventlet

from ..errors import CallerGoneError, DockreachError
from ..events import Event, log
from ..verdict import Reason, Refusal, Verdict
from .attempt import NOT_RUN_OUTCOMES, Attempt, AttemptOutcome, Placement
from .context import Context
from .crash_reporter import UnansweredRequest
from .dispatching import VERSION_GONE_REFUSAL
from .endpoint_connection import EndpointConnection
from .endpoints import EndpointRow, EventGapMeter
from .event_stream import CONTENT_TYPE, EventSplitter
from .http1 import ConnectError, RawHead, ResponseError, ResponseLimitError, end_to_end
from .jobs import Job, queue_timeout_s
from .notice import InvalidValue
from .outcomes import DeliveryProgress
from .pool import MAX_IDLE_WITHOUT_RETRY_S
from .quarantine import HARMLESS_EVENTS, HARMLESS_RUN_S
from .requests import ExecutionStatus, InboundRequest, ResponseHead
from .response_sink import ResponseSink
from .routing_config import RetryMode
from .slot_messages import SampleKind
from .stream_versions import StreamOrigin, UnknownVersion

MAX_BUFFERED_BYTES = 1 << 20
"""Responses up to this size are buffered whole before they are passed on, so that the
request can be retried if one is truncated."""

FIRST_EVENT_TIMEOUT_OBJECTIVES = 2.5
"""Read timeout for the first event, in objectives, after which a resumable stream is tried
at another endpoint. Callers give up after four objectives."""

GAP_TIMEOUT_OBJECTIVES = 3.0
"""Read timeout between events, in gap objectives, after which a resumable stream is resumed
at another endpoint."""

PLAIN_TIMEOUT_OBJECTIVES = 2.0
"""Read timeout for a plain response, in objectives, after which a request that may be
retried is sent to another endpoint."""

MAX_FAILED_CONNECTS = 4
"""Failed connection attempts after which a request is refused."""

SERVER_ERRORS = range(500, 600)

OVERLOAD_STATUSES = (429, 503)
"""Statuses with which an overloaded endpoint rejects a request that it could run. They
count as failures of the endpoint: it would reject the next request too, and since it
rejects at once it looks idle."""

MIN_FAILURE_STATUS = 400
"""Lowest status that counts as a failed response."""

DEFAULT_RETRY_AFTER_S = 0.5
"""Retry time that a refused caller gets where no better one is known, in seconds."""


class _DeadlineError(DockreachError):
    """The caller's deadline or the route's timeout has passed."""


class _ReadTimeoutError(DockreachError):
    """An endpoint sent nothing within the read timeout; the request may be retried."""


class Forwarder:
    """Makes the upstream attempts of one request.

    Args:
        ctx: State shared by all requests of the entry.
        job: The request as the scheduler queues it, with its route and its deadline.
        req: The request.
        caller: Where the response goes.
        organisation: Name of the organisation that sent it; empty on a public route.
        suspects: Fingerprints of the request, the same for all attempts of its caller, and
            of the shared parts of its prompt.
        is_probe: Whether it is the half-open probe of a quarantined request, which shows
            if engines crashed for other reasons; a probe is sent once.
        max_idle: Maximum number of idle connections to one endpoint.
    """

    def __init__(
        self,
        ctx: Context,
        job: Job,
        req: InboundRequest,
        caller: ResponseSink,
        *,
        organisation: str,
        suspects: tuple[bytes, ...],
        is_probe: bool,
        max_idle: int,
    ) -> None:
        self._ctx = ctx
        self._job = job
        self._route = job.route
        self._req = req
        self._caller = caller
        self._organisation = organisation
        self._suspects = suspects
        self._fingerprint, *parts = suspects
        self._part_fingerprints = tuple(parts)
        self._has_proven_parts = False
        self._is_probe = is_probe
        self._deadline = job.deadline
        self._max_idle = max_idle
        self._attempts_sent = 0
        self._last_event_id = req.last_event_id
        self._last_error_response: tuple[RawHead, bytes] | None = None
        self.attempts: list[Attempt] = []
        self.progress = DeliveryProgress()
        self.placement: Placement | None = None
        self.last_data_at = -math.inf
        """Monotonic time of the last data from the current endpoint, in seconds."""
        self._first_event_at: float | None = None
        self._event_count = 0
        self._attempt_sent_at = -math.inf
        self.may_have_run = False
        self._origin: StreamOrigin | None = None

    def run(self) -> Refusal | None:
        """Forward the request until its deadline.

        Returns:
            ``None`` if the caller has a complete response, else the refusal.

        Raises:
            CallerGoneError: The caller closed its connection.
        """
        time_left_s = max(self._deadline - self._ctx.now(), 0.0)
        try:
            with eventlet.Timeout(time_left_s, _DeadlineError("deadline passed")):
                return self._attempt_all()
        except _DeadlineError:
            verdict = Verdict.MAY_HAVE_RUN if self.may_have_run else Verdict.NOT_RUN
            reason = Reason.DEADLINE if self.may_have_run else Reason.SHED
            return Refusal(verdict, reason, retry_after_s=DEFAULT_RETRY_AFTER_S)
        finally:
            if self._origin is not None:
                self._ctx.streams.end(self._origin)

    def _attempt_all(self) -> Refusal | None:
        job = self._job
        failed_connects = 0
        while True:
            found = self._acquire_slot()
            if isinstance(found, Refusal):
                return self._finish_unserved(found)
            self.placement = self._make_placement(found)
            may_have_run_before = self.may_have_run
            try:
                attempt = self._attempt(found)
            finally:
                self._ctx.scheduler.release_slot(job)
            if attempt.outcome in NOT_RUN_OUTCOMES:
                self.may_have_run = may_have_run_before
            self.attempts.append(attempt)
            job.tried_endpoints.add(found.id)
            if attempt.outcome is AttemptOutcome.DELIVERED:
                if not self.progress.is_failure:
                    self._ctx.crashes.record_completion(self._fingerprint)
                    self._record_harmless_parts()
                return None
            self._log_attempt(attempt)
            if attempt.outcome is AttemptOutcome.NOT_SENT:
                failed_connects += 1
                if failed_connects < MAX_FAILED_CONNECTS:
                    continue
                refusal = Refusal(Verdict.NOT_RUN, Reason.NO_ENDPOINT)
                return self._finish_unserved(
                    refusal._replace(retry_after_s=DEFAULT_RETRY_AFTER_S)
                )
            if not self._may_retry(attempt):
                return self._finish_unserved(self._refusal_after(attempt))

    def _acquire_slot(self) -> EndpointRow | Refusal:
        """Wait for the slot of an endpoint that may run the request."""
        job = self._job
        while True:
            refusal = self._require_software_version()
            # A refusal is falsy, so compare with `None` instead of testing its truth.
            if refusal is not None:
                return refusal
            if job.needs_gone_version(self._ctx.endpoints, self._ctx.now()):
                return VERSION_GONE_REFUSAL
            found = self._ctx.scheduler.acquire_slot(job)
            if isinstance(found, Refusal):
                return found
            if self._is_quarantined:
                # While it waited, engines crashed that ran copies of it for other entries;
                # or one crashed during its previous attempt.
                self._ctx.scheduler.release_slot(job)
                return self._ctx.crashes.quarantine.refusal(*self._suspects)
            if job.fits(found) and not self._must_know_version():
                return found
            # While it waited, the endpoint's record has changed, or a second software
            # version has appeared.
            if not job.fits(found):
                job.tried_endpoints.add(found.id)
            self._ctx.scheduler.release_slot(job)

    def _require_software_version(self) -> Refusal | None:
        """Require the software version that began the stream, if it goes on.

        Returns:
            A refusal if the version is not known while several serve.
        """
        if not self._must_know_version():
            return None
        version: str | None | UnknownVersion = UnknownVersion("its endpoint has restarted")
        if self._origin is None:
            version = self._ctx.streams.find(self._req.stream_rid, self._job.service)
        if isinstance(version, UnknownVersion):
            return Refusal(
                Verdict.NOT_RUN,
                Reason.SOFTWARE_VERSION,
                version.reason,
                retry_after_s=DEFAULT_RETRY_AFTER_S,
            )
        self._job.software_version = version
        return None

    def _must_know_version(self) -> bool:
        """Return whether the stream goes on, but not at a known software version.

        While one version serves, the stream may go on anywhere.
        """
        job = self._job
        if self._origin is not None:
            job.software_version = self._origin.software_version
        goes_on = self._origin is not None or bool(self._req.last_event_id)
        return (
            goes_on
            and job.software_version is None
            and self._ctx.streams.is_mixed(job.service)
        )

    def _make_placement(self, row: EndpointRow) -> Placement:
        return Placement(
            endpoint=row.id,
            waited_s=self._ctx.now() - self._req.arrived_at,
            in_flight_here=row.in_flight_here,
            in_flight_elsewhere=row.in_flight_elsewhere,
            slots=row.published.slots,
            granted_by=self._job.granted_by,
            load_percent=self._job.load_percent,
            software_version=row.published.software_version,
        )

    def _may_retry(self, attempt: Attempt) -> bool:
        """Return whether the request may be sent to another endpoint."""
        # A misdirected attempt is not counted: its endpoint was gone before it was sent.
        self._attempts_sent += attempt.outcome is not AttemptOutcome.MISDIRECTED
        if attempt.response is not None:
            self._last_error_response = attempt.response
        if (
            attempt.outcome not in NOT_RUN_OUTCOMES
            and self._route.retry_mode is RetryMode.NEVER
        ):
            return False
        if self._attempts_sent >= self._route.max_attempts:
            return False
        if not self._ctx.try_acquire_retry(self._job.service):
            return False
        self._ctx.counters.retries += 1
        now = self._ctx.now()
        self._job.queue_deadline = now + queue_timeout_s(self._route, self._deadline - now)
        return True

    def _refusal_after(self, attempt: Attempt) -> Refusal:
        if self.may_have_run:
            return Refusal(Verdict.MAY_HAVE_RUN, Reason.ENGINE_LOST, attempt.detail)
        return Refusal(
            Verdict.NOT_RUN,
            Reason.ENGINE_REFUSED,
            attempt.detail,
            retry_after_s=DEFAULT_RETRY_AFTER_S,
        )

    def _finish_unserved(self, refusal: Refusal) -> Refusal | None:
        """Pass on the last error response of an endpoint if there is one, else refuse."""
        if self._last_error_response is None or self._caller.head_sent:
            if self.may_have_run and refusal.verdict is Verdict.NOT_RUN:
                return Refusal(Verdict.MAY_HAVE_RUN, Reason.ENGINE_LOST)
            return refusal
        self.progress.is_failure = True
        self._caller.send_response(*self._last_error_response)
        return None

    def _attempt(self, row: EndpointRow) -> Attempt:
        """Send the request to one endpoint and pass on its response if it is usable."""
        max_idle_s = None if self._has_another_attempt else MAX_IDLE_WITHOUT_RETRY_S
        try:
            conn = self._ctx.pool.get(row.published.address, max_idle_s=max_idle_s)
        except ConnectError as exc:
            row.mark_unreachable(self._ctx.now())
            return Attempt(AttemptOutcome.NOT_SENT, row.id, str(exc))
        keep_alive_s: float | None = 0.0
        sent_at = self._ctx.now()
        self._attempt_sent_at = sent_at
        self.last_data_at = sent_at
        self._first_event_at = None
        self._event_count = 0
        self._has_proven_parts = False
        row.connections.add(conn)
        try:
            head = self._send(conn, row, sent_at)
            attempt = self._relay_response(conn, row, head, sent_at)
            keep_alive_s = head.keep_alive_s
        except (ResponseError, _ReadTimeoutError) as exc:
            row.record_failure(self._ctx.now())
            is_broken = isinstance(exc, ResponseError)
            if is_broken:
                row.mark_connection_broken(self._ctx.now())
            self._report_unanswered(row, sent_at, is_connection_broken=is_broken)
            if conn.was_reused and isinstance(exc, _ReadTimeoutError):
                # Idle connections stall together, for example when a middlebox loses its
                # state: without this, each of them would cost one more request.
                self._ctx.pool.close_all()
            limit = exc.limit if isinstance(exc, ResponseLimitError) else None
            if limit is not None:
                self._ctx.counters.response_limits[limit] += 1
            return Attempt(AttemptOutcome.LOST, row.id, str(exc), limit=limit)
        except (CallerGoneError, _DeadlineError):
            self._report_unanswered(row, sent_at, is_connection_broken=False)
            raise
        finally:
            row.connections.discard(conn)
            self._ctx.pool.put(conn, keep_alive_s, self._max_idle)
        return attempt

    def _send(self, conn: EndpointConnection, row: EndpointRow, now: float) -> ResponseHead:
        """Send the request and read the head of its response.

        Raises:
            ResponseError: The connection broke, or the response to a request that ran has
                no request id.
        """
        req = self._req
        headers = self._ctx.adapter.endpoint_headers(
            req,
            row.published,
            organisation=self._organisation,
            time_left_s=max(self._deadline - now, 0.0),
            resume_after=self._last_event_id,
        )
        self.may_have_run = True
        conn.send(req.method, req.target, headers, req.body if req.has_body else None)
        with self._read_timeout(self._first_timeout_s()):
            return self._read_own_head(conn, row, now)

    def _read_own_head(
        self, conn: EndpointConnection, row: EndpointRow, sent_at: float
    ) -> ResponseHead:
        while True:
            head = self._ctx.adapter.read_response(conn.read_head())
            self.last_data_at = self._ctx.now()
            # For a late response to another request, the send time is not known.
            is_own = head.rid in (self._req.rid, "")
            request_sent_at = sent_at if is_own else -math.inf
            self._ctx.notices.apply_notice(
                row, head.notice, request_sent_at=request_sent_at, rid=head.rid
            )
            if head.rid == self._req.rid:
                self._record_load(row, head)
                return head
            if not head.rid and head.execution_status is not ExecutionStatus.RAN:
                self._record_load(row, head)
                return head
            if not head.rid:
                raise ResponseError(f"{conn.address}: response without a request id")
            self._ctx.counters.late_answers += 1
            conn.skip_response()

    def _record_load(self, row: EndpointRow, head: ResponseHead) -> None:
        """Record the load that an endpoint reports in the head of its own response."""
        if head.execution_status is ExecutionStatus.MISDIRECTED or head.load is None:
            return
        if isinstance(head.load, InvalidValue):
            self._ctx.counters.invalid_loads += 1
            self._ctx.notices.log_invalid_load(row, head.load)
            return
        self._ctx.endpoints.record_load(row, head.load, self._ctx.now())
        self._ctx.scheduler.record_load(row)

    @property
    def _is_quarantined(self) -> bool:
        if self._is_probe and not self.attempts:
            return False
        return self._ctx.crashes.quarantine.is_quarantined(*self._suspects)

    def _report_unanswered(
        self, row: EndpointRow, sent_at: float, *, is_connection_broken: bool
    ) -> None:
        """Have the crash reporter check if the engine crashed in the current attempt.

        A stream that has run for a while without harm is not reported.

        Args:
            row: The engine's endpoint.
            sent_at: Monotonic time at which the request was sent to it, in seconds.
            is_connection_broken: Whether the connection to the engine broke.
        """
        now = self._ctx.now()
        if self._has_run_without_harm(now):
            return
        crashes = self._ctx.crashes
        unanswered = UnansweredRequest(
            self._req.path,
            self._fingerprint,
            self._organisation,
            row,
            sent_at,
            now,
            parts=self._req.shared_parts,
            part_fingerprints=self._part_fingerprints,
            is_probe=self._is_probe,
        )
        if is_connection_broken:
            crashes.record_lost(unanswered)
        else:
            crashes.record_abandoned(unanswered)

    def _has_run_without_harm(self, now: float) -> bool:
        """Return whether the stream has run for a while without a crash."""
        ran_s = now - self._first_event_at if self._first_event_at is not None else 0.0
        return self._event_count >= HARMLESS_EVENTS or ran_s >= HARMLESS_RUN_S

    def _record_harmless_parts(self) -> None:
        """Record, once in an attempt, that the prompt's parts crash no engine."""
        if not self._has_proven_parts and self._part_fingerprints:
            self._has_proven_parts = True
            began_at = self._attempt_sent_at
            if self._first_event_at is not None:
                began_at = self._first_event_at
            self._ctx.crashes.record_harmless_parts(self._part_fingerprints, began_at)

    @property
    def _has_another_attempt(self) -> bool:
        """Whether the request may be sent again if the current attempt fails."""
        route = self._route
        return (
            route.retry_mode is not RetryMode.NEVER
            and self._attempts_sent + 1 < route.max_attempts
        )

    def _first_timeout_s(self) -> float | None:
        """Return the read timeout up to the first event or a plain response, in seconds.

        It is ``None`` if the request cannot be retried; then only its deadline applies.
        """
        route = self._route
        if not self._has_another_attempt:
            return None
        factor = (
            FIRST_EVENT_TIMEOUT_OBJECTIVES if route.is_stream else PLAIN_TIMEOUT_OBJECTIVES
        )
        return factor * route.objective_s

    def _gap_timeout_s(self) -> float | None:
        """Return the read timeout between events, in seconds; ``None`` for no timeout."""
        route = self._route
        if route.retry_mode is not RetryMode.RESUME or not self._has_another_attempt:
            return None
        return max(GAP_TIMEOUT_OBJECTIVES * route.gap_objective_s, route.objective_s)

    @contextmanager
    def _read_timeout(self, timeout_s: float | None) -> Iterator[None]:
        if timeout_s is None:
            yield
            return
        with eventlet.Timeout(
            timeout_s, _ReadTimeoutError(f"no data for {timeout_s:.1f} s")
        ):
            yield

    def _relay_response(
        self, conn: EndpointConnection, row: EndpointRow, head: ResponseHead, sent_at: float
    ) -> Attempt:
        if head.execution_status is ExecutionStatus.MISDIRECTED:
            conn.drain_body()
            row.mark_address_reused(self._ctx.now())
            return Attempt(
                AttemptOutcome.MISDIRECTED, row.id, "another endpoint uses the address"
            )
        if head.execution_status is ExecutionStatus.NOT_RUN:
            detail = f"endpoint refused: status {head.status}"
            if not conn.drain_body():
                detail += ", its body did not end"
            if head.status in OVERLOAD_STATUSES:
                row.record_failure(self._ctx.now())
            return Attempt(AttemptOutcome.NOT_RUN, row.id, detail)
        raw = RawHead(head.status, head.reason, end_to_end(head.headers))
        if self._is_event_stream(head):
            return self._relay_stream(conn, row, raw, sent_at)
        body = conn.read_body(MAX_BUFFERED_BYTES)
        self._record_success(row, self._ctx.now())
        if head.status in SERVER_ERRORS:
            return Attempt(
                AttemptOutcome.FAILED, row.id, f"status {head.status}", (raw, body)
            )
        if self._caller.head_sent:
            return Attempt(
                AttemptOutcome.FAILED, row.id, f"status {head.status} on resuming"
            )
        now = self._ctx.now()
        row.record_measurement(
            SampleKind.PLAIN, now - sent_at, percent=row.load.mean_percent(sent_at, now)
        )
        self.progress.record(0, now)
        self.progress.is_failure = head.status >= MIN_FAILURE_STATUS
        self._caller.send_response(raw, body)
        return Attempt(AttemptOutcome.DELIVERED, row.id)

    @staticmethod
    def _is_event_stream(head: ResponseHead) -> bool:
        types = [value for name, value in head.headers if name.lower() == b"content-type"]
        return head.status == 200 and any(CONTENT_TYPE in value for value in types)

    def _relay_stream(
        self, conn: EndpointConnection, row: EndpointRow, head: RawHead, sent_at: float
    ) -> Attempt:
        """Pass on a stream's events as they arrive.

        Raises:
            ResponseError: The stream was truncated.
        """
        splitter = EventSplitter()
        pace = EventGapMeter(row)
        timeout_s = self._first_timeout_s()
        while True:
            with self._read_timeout(timeout_s):
                data = conn.read_data()
            if data is None:
                break
            now = self._ctx.now()
            self.last_data_at = now
            events = splitter.feed(data)
            if not events:
                continue
            if self._first_event_at is None:
                self._first_event_at = now
                self._record_success(row, now)
                self._record_prefill_end(row, sent_at, now)
                timeout_s = self._gap_timeout_s()
                self._record_origin(row, sent_at)
            pace.count(len(events), now)
            self._event_count += len(events)
            if self._has_run_without_harm(now):
                self._record_harmless_parts()
            self._job.record_events(self._job.events + len(events), now)
            self.progress.record(len(events), now)
            self._start_stream(head)
            for event in events:
                self._last_event_id = event.id or self._last_event_id
            self._caller.send_data(b"".join(event.data for event in events))
        if splitter.is_inside_event:
            raise ResponseError(f"{conn.address}: stream ended within an event")
        self._start_stream(head)
        self._caller.send_data(splitter.remainder)
        self._caller.end()
        return Attempt(AttemptOutcome.DELIVERED, row.id)

    def _record_origin(self, row: EndpointRow, sent_at: float) -> None:
        """Record which software version began a stream that may be continued."""
        if self._origin is not None or self._route.retry_mode is not RetryMode.RESUME:
            return
        published = row.published
        self._origin = self._ctx.streams.begin(
            self._req.stream_rid or self._req.rid,
            published,
            sent_at=sent_at,
            software_version=published.software_version
            if self._job.software_version is None
            else self._job.software_version,
        )

    def _record_success(self, row: EndpointRow, now: float) -> None:
        row.record_success(now)
        self._ctx.crashes.record_alive(row)

    def _start_stream(self, head: RawHead) -> None:
        """Send the head before the first event; a resumed stream keeps its first head."""
        if not self._caller.head_sent:
            self._caller.send_head(head)

    def _record_prefill_end(self, row: EndpointRow, sent_at: float, now: float) -> None:
        """Record the end of the prefill and the time to the first event."""
        job = self._job
        if job.found_free_slot:
            tokens = job.prefill_ahead + job.prefill_tokens
            row.record_measurement(
                SampleKind.FIRST_EVENT,
                now - sent_at,
                tokens,
                row.load.mean_percent(sent_at, now),
            )
        self._ctx.scheduler.record_prefill_end(job)
        self._record_cached_prefix(row, now)

    def _record_cached_prefix(self, row: EndpointRow, now: float) -> None:
        for part, _ in self._req.prefix:
            row.record_prefix(part, now)

    def _log_attempt(self, attempt: Attempt) -> None:
        log(
            Event.ATTEMPT_ENDED,
            rid=self._req.rid,
            fingerprint=self._fingerprint.hex(),
            endpoint=attempt.endpoint,
            version=self.placement.software_version if self.placement else None,
            resumed_after=self._last_event_id,
            fate=attempt.outcome.value,
            detail=attempt.detail,
            limit=attempt.limit.value if attempt.limit else None,
            held_ms=round((self._ctx.now() - self._req.arrived_at) * 1000),
        )
