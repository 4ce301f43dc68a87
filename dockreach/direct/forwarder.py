"""Forwards one request to endpoints, one after another, until one has responded to it."""

from __future__ import annotations

import math
from contextlib import ExitStack
from functools import partial, singledispatchmethod

import eventlet

from ..errors import DockreachError
from ..events import Event, log
from ..verdict import Reason, Refusal, Verdict
from .attempt import Attempt, AttemptOutcome, Placement
from .context import Context
from .endpoint_connection import EndpointConnection
from .endpoints import EndpointRow
from .event_run import EventRun
from .event_sequence import EventOrderError, EventSequence
from .evidence import AttemptRecord, ExecutionRecord
from .harm_reporter import HarmReporter
from .hedging import LASTING_BARRIERS, OVERLAP_S, HedgeBarrier, Race
from .http1 import ConnectError, RawHead, ResponseError, ResponseLimitError, SilentError
from .jobs import DEFAULT_RETRY_AFTER_S, Job
from .outcomes import DeliveryProgress
from .patience import next_event_deadline
from .pool import MAX_IDLE_WITHOUT_RETRY_S
from .requests import InboundRequest
from .response_sink import ResponseSink
from .routing_config import RetryMode
from .slot_acquirer import SlotAcquirer
from .slot_messages import SampleKind
from .upstream_request import (
    EventBatch,
    Item,
    MisdirectedResponse,
    NotRunResponse,
    PlainResponse,
    StreamEnd,
    UpstreamRequest,
)
from .version_coverage import VersionEvidence, VersionSource
from .work_left import OVERDUE_FACTOR, latest_end_s, next_result_s, overdue_s

MAX_FAILED_CONNECTS = 4
"""Failed connection attempts after which a request is refused."""

SERVER_ERRORS = range(500, 600)

OVERLOAD_STATUSES = (429, 503)
"""Statuses with which an overloaded endpoint rejects a request that it could run. They
count as failures of the endpoint: it would reject the next request too, and since it
rejects at once it looks idle."""

OVERLOAD_FAILURES = (503,)
"""Those that tell of overload also without a proof that the request was not run; with the
others an application may limit its callers."""

MIN_FAILURE_STATUS = 400
"""Lowest status that counts as a failed response."""

HEDGE_SENT = "sent"


class _DeadlineError(DockreachError):
    """The caller's deadline or the route's timeout has passed."""


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
        self._fingerprint = suspects[0]
        self._slots = SlotAcquirer(ctx, req, suspects, is_probe=is_probe)
        self._harm = HarmReporter(
            ctx, req, suspects, organisation=organisation, is_probe=is_probe
        )
        self._deadline = job.deadline
        self._max_idle = max_idle
        self._attempts_sent = 0
        goes_on = job.route.retry_mode is RetryMode.RESUME
        self._sequence = EventSequence(req.last_event_id if goes_on else "")
        self._last_error_response: tuple[RawHead, bytes] | None = None
        self._open: dict[UpstreamRequest, AttemptRecord] = {}
        self._current: UpstreamRequest | None = None
        self._carriers: set[EndpointConnection] = set()
        self.execution = ExecutionRecord()
        self.attempts: list[Attempt] = []
        self.runs: list[EventRun] = []
        self.progress = DeliveryProgress()

    @property
    def last_data_at(self) -> float:
        """Monotonic time of the last data from the current endpoint, in seconds."""
        return -math.inf if self._current is None else self._current.last_data_at

    @property
    def placement(self) -> Placement | None:
        """Where the request was placed last."""
        return None if self._current is None else self._current.placement

    @property
    def version_source(self) -> VersionSource | None:
        """From what it is known at which software version the stream has to go on.

        It is ``None`` if the caller has no events yet.
        """
        return self._slots.version_source

    @property
    def version_evidence(self) -> VersionEvidence | None:
        """By what one software version was taken for the only one, if it was."""
        return self._slots.version_evidence

    @property
    def sent_at(self) -> float:
        """Monotonic time at which the last attempt was sent, in seconds.

        Minus infinity if there was none.
        """
        return -math.inf if self._current is None else self._current.sent_at

    @property
    def response_end(self) -> str:
        """How the end of the last response was known; empty if it has not ended."""
        end = None if self._current is None else self._current.end
        return "" if end is None else end.value

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
                refusal = self._attempt_all()
        except _DeadlineError:
            refusal = _not_run(Reason.DEADLINE)
        finally:
            self._abandon_open()
            self._slots.end_stream()
        return None if refusal is None else self.execution.refusal(refusal)

    def _abandon_open(self) -> None:
        """Close the upstream requests that have not ended."""
        with ExitStack() as stack:
            for upstream in list(self._open):
                stack.callback(upstream.close, self._max_idle)
                if upstream.is_sent:
                    self._harm.report_unanswered(upstream, is_connection_broken=False)

    def _attempt_all(self) -> Refusal | None:
        """Make attempts until one is delivered, or no other may be made.

        Returns:
            ``None`` if the caller has a complete response, else the refusal as it would be
            if no endpoint had run the request.
        """
        job = self._job
        failed_connects = 0
        while True:
            found = self._slots.acquire(job)
            if isinstance(found, Refusal):
                return self._finish_unserved(found)
            if self._would_be_cut(found):
                self._ctx.scheduler.release_slot(job)
                return self._finish_unserved(_not_run(Reason.STOPPING))
            attempt = self._attempt(found)
            if attempt.outcome is AttemptOutcome.DELIVERED:
                if not self.progress.is_failure:
                    self._harm.record_completion()
                return None
            if attempt.outcome is AttemptOutcome.NOT_SENT:
                failed_connects += 1
                if failed_connects < MAX_FAILED_CONNECTS:
                    continue
                return self._finish_unserved(_not_run(Reason.NO_ENDPOINT))
            if not self._may_retry():
                refusal = _not_run(Reason.ENGINE_REFUSED, attempt.detail)
                return self._finish_unserved(refusal)

    def _would_be_cut(self, row: EndpointRow) -> bool:
        """Return whether this entry's stop would end the request at an endpoint."""
        if self._ctx.ends_at == math.inf:
            return False
        now = self._ctx.now()
        return now + latest_end_s(self._job, row, now) > self._ctx.ends_at

    def _make_placement(self, row: EndpointRow, job: Job) -> Placement:
        now, confirmation = self._ctx.now(), self._ctx.list_confirmation
        return Placement(
            endpoint=row.id,
            waited_s=now - self._req.arrived_at,
            in_flight_here=row.in_flight_here,
            in_flight_elsewhere=row.in_flight_elsewhere,
            slots=row.published.slots,
            granted_by=job.granted_by,
            load_percent=job.load_percent,
            software_version=row.published.software_version,
            list_revision=confirmation.revision,
            list_age_s=confirmation.last_age_s(now),
            list_confirmed_by=confirmation.last.by,
        )

    def _may_retry(self) -> bool:
        """Return whether the request may be sent to another endpoint."""
        if self._route.retry_mode is RetryMode.NEVER and self.execution.may_have_run:
            return False
        if self._caller.head_sent and not self._can_resume:
            return False
        if self._attempts_sent >= self._route.max_attempts:
            return False
        if not self._ctx.try_acquire_retry(self._job.service):
            return False
        self._ctx.counters.retries += 1
        self._update_queue_deadline(self._job)
        return True

    def _update_queue_deadline(self, job: Job) -> None:
        """Set until when a job may wait for a slot, by what the caller has so far."""
        job.queue_deadline = self._ctx.work.queue_deadline(
            job, self._last_event_at, self._ctx.now()
        )

    @property
    def _last_event_at(self) -> float:
        """Monotonic time of the last event that the caller got, or of its request."""
        return max(self.progress.last_at, self._req.arrived_at)

    @property
    def _can_resume(self) -> bool:
        """Whether another run may go on with a response that has begun."""
        return self._route.retry_mode is RetryMode.RESUME and self._sequence.can_resume

    def _finish_unserved(self, refusal: Refusal) -> Refusal | None:
        """Pass on the last error response of an endpoint if there is one, else refuse."""
        if self._last_error_response is None or self._caller.head_sent:
            return refusal
        self.progress.is_failure = True
        self._caller.send_response(*self._last_error_response)
        return None

    def _attempt(self, row: EndpointRow) -> Attempt:
        """Send the request to an endpoint and pass on its response if it is usable.

        Returns:
            How the last attempt ended, if others were made while it was silent.
        """
        upstream = self._open_upstream(row, self._job)
        self._current = upstream
        try:
            self._send(upstream)
        except (ConnectError, ResponseError) as exc:
            return self._end_failed(upstream, exc)
        while True:
            try:
                item = upstream.next_item(self._silent_at(upstream))
                attempt = self._deliver(item, upstream)
            except SilentError:
                if self._ctx.now() < self._silent_at(upstream):
                    # A part of a plain body has arrived meanwhile.
                    continue
                if upstream.may_be_refused:
                    error = ResponseError("refusal without a request id, and no response")
                    return self._end_failed(upstream, error)
                upstream = self._hedge(upstream)
                self._current = upstream
                continue
            except ResponseError as exc:
                return self._end_failed(upstream, exc)
            if attempt is not None:
                self._end(upstream, attempt)
                return attempt

    def _end_failed(
        self, upstream: UpstreamRequest, exc: ConnectError | ResponseError
    ) -> Attempt:
        """Record that no connection could be opened, or that it broke."""
        row = upstream.row
        if isinstance(exc, ConnectError):
            row.mark_unreachable(self._ctx.now())
            attempt = Attempt(AttemptOutcome.NOT_SENT, row.id, str(exc))
        else:
            is_broken = not isinstance(exc, EventOrderError)
            row.record_failure(self._ctx.now())
            if is_broken:
                row.mark_connection_broken(self._ctx.now())
            self._harm.report_unanswered(upstream, is_connection_broken=is_broken)
            self._ctx.counters.event_gaps += not is_broken
            limit = exc.limit if isinstance(exc, ResponseLimitError) else None
            if limit is not None:
                self._ctx.counters.response_limits[limit] += 1
            attempt = Attempt(AttemptOutcome.LOST, row.id, str(exc), limit=limit)
        self._end(upstream, attempt)
        return attempt

    def _hedge(self, first: UpstreamRequest) -> UpstreamRequest:
        """Send the request to a second endpoint while a silent one is still read.

        Returns:
            The upstream request to go on with.
        """
        barrier = self._hedge_barrier()
        if barrier is not None:
            self._log_silence(first, barrier.value)
            is_lasting = barrier in LASTING_BARRIERS
            first.silence_noted_at = math.inf if is_lasting else self._ctx.now()
            return first
        job = self._job.for_second_request()
        self._update_queue_deadline(job)
        job.tried_endpoints.add(first.row.id)
        # Two endpoints must not continue the same stream for long.
        overlap_s = OVERLAP_S if self._sequence.last_id else math.inf
        start_second = partial(self._start_second, first, job)
        race = Race(first, start_second, overlap_s, self._has_news)
        race.run()
        return self._settle(first, race.second)

    def _start_second(self, first: UpstreamRequest, job: Job) -> UpstreamRequest | None:
        """Wait for a slot and send the request there.

        Returns:
            The upstream request; ``None`` if it was not sent.
        """
        second: UpstreamRequest | None = None
        state = HedgeBarrier.NOT_NEEDED.value
        try:
            found = self._acquire_second_slot(job)
            if isinstance(found, Refusal):
                state = found.reason.value
                return None
            second = self._open_upstream(found, job)
            if not self._ctx.try_acquire_retry(job.service):
                state = HedgeBarrier.RETRY_BUDGET.value
                return None
            self._send(second)
            state = HEDGE_SENT
        except (ConnectError, ResponseError) as exc:
            state = HedgeBarrier.BROKEN.value
            if second is not None:
                self._end_failed(second, exc)
            return None
        finally:
            self._log_silence(first, state)
            if second in self._open and state != HEDGE_SENT:
                self._discard(second)
        self._ctx.counters.hedges += 1
        return second

    def _acquire_second_slot(self, job: Job) -> EndpointRow | Refusal:
        """Wait for the slot of an endpoint that the request was not sent to."""
        found = self._slots.acquire(job)
        if isinstance(found, Refusal) or found.id not in job.tried_endpoints:
            return found
        self._ctx.scheduler.release_slot(job)
        return Refusal(Verdict.NOT_RUN, Reason.NO_ENDPOINT)

    def _settle(
        self, first: UpstreamRequest, second: UpstreamRequest | None
    ) -> UpstreamRequest:
        """Close the loser of a race, and return the one to go on with."""
        first.silence_noted_at = self._ctx.now()
        if second is None:
            return first
        if self._is_for_caller(first):
            self._discard(second)
            return first
        if second.result is not None and not self._is_for_caller(second):
            self._end_with_result(second)
            return first
        if first.result is not None:
            self._end_with_result(first)
        elif second.result is None and not self._could_go_on_elsewhere():
            # The first may go on, and nothing could replace the second if it refuses.
            self._discard(second)
            return first
        else:
            self._end(first, self._record_timeout(first))
        self._ctx.counters.hedges_won += 1
        return second

    def _is_for_caller(self, upstream: UpstreamRequest) -> bool:
        """Return whether what was read from an endpoint can be passed on."""
        result = upstream.result
        if isinstance(result, PlainResponse):
            status = result.head.status
            is_failed = status in SERVER_ERRORS or self._is_unproven(status)
            return not is_failed and not self._caller.head_sent
        return isinstance(result, EventBatch | StreamEnd) and self._is_in_order(upstream)

    def _is_in_order(self, upstream: UpstreamRequest) -> bool:
        """Return whether the events or the end that were read can come next."""
        try:
            self._check_order(upstream)
        except EventOrderError:
            return False
        return True

    def _check_order(self, upstream: UpstreamRequest) -> None:
        """Check the events or the end that were read against those that the caller has.

        Raises:
            EventOrderError: They cannot come next.
        """
        result = upstream.result
        if isinstance(result, EventBatch):
            self._sequence.has_next(upstream.events, result.events)
        elif isinstance(result, StreamEnd):
            self._sequence.check_end(upstream.events)

    def _has_news(self, upstream: UpstreamRequest, item: Item) -> bool:
        """Return whether an item decides a race: events that the caller has do not."""
        if not isinstance(item, EventBatch):
            return True
        try:
            return self._sequence.has_next(upstream.events, item.events)
        except EventOrderError:
            return True

    def _end_with_result(self, upstream: UpstreamRequest) -> None:
        """End an upstream request whose result cannot be passed on."""
        try:
            self._check_order(upstream)
            attempt = self._deliver(upstream.next_item(), upstream)
        except ResponseError as exc:
            self._end_failed(upstream, exc)
            return
        if attempt is not None:
            self._end(upstream, attempt)

    def _discard(self, upstream: UpstreamRequest) -> None:
        """Close a second upstream request that is not needed."""
        if upstream.is_sent:
            self._harm.report_unanswered(upstream, is_connection_broken=False)
            attempt = Attempt(AttemptOutcome.SUPERSEDED, upstream.row.id, "not needed")
            self._end(upstream, attempt)
            return
        del self._open[upstream]
        upstream.close(self._max_idle)

    def _open_upstream(self, row: EndpointRow, job: Job) -> UpstreamRequest:
        placement = self._make_placement(row, job)
        upstream = UpstreamRequest(
            self._ctx, self._req, job, row, placement, max_idle=self._max_idle
        )
        upstream.elsewhere_s = self._ctx.work.next_result_elsewhere_s(
            job, row.id, self._ctx.now()
        )
        self._open[upstream] = self.execution.begin(row.id)
        self.runs.append(upstream.events)
        return upstream

    def _send(self, upstream: UpstreamRequest) -> None:
        """Connect and send the request.

        Raises:
            ConnectError: No connection could be opened.
            ResponseError: The connection broke.
        """
        max_idle_s = None if self._has_another_attempt else MAX_IDLE_WITHOUT_RETRY_S
        upstream.connect(max_idle_s, self._carriers)
        self._attempts_sent += 1
        self._open[upstream].mark_sent()
        headers = self._ctx.adapter.endpoint_headers(
            self._req,
            upstream.row.published,
            organisation=self._organisation,
            time_left_s=max(self._deadline - self._ctx.now(), 0.0),
            resume_after=self._sequence.last_id or self._req.last_event_id,
        )
        upstream.goes_on = bool(self._sequence.last_id)
        upstream.send(headers)

    def _record_timeout(self, upstream: UpstreamRequest) -> Attempt:
        """Record that an upstream request is given up since it was silent."""
        row = upstream.row
        row.record_failure(self._ctx.now())
        self._harm.report_unanswered(upstream, is_connection_broken=False)
        if upstream.is_connection_reused:
            # Idle connections stall together, for example when a middlebox loses its
            # state: without this, each of them would cost one more request.
            self._ctx.pool.close_all()
        silent_s = self._ctx.now() - upstream.progressed_at
        return Attempt(AttemptOutcome.LOST, row.id, f"no data for {silent_s:.1f} s")

    def _end(self, upstream: UpstreamRequest, attempt: Attempt) -> None:
        """Close an upstream request and record how it ended."""
        record = self._open.pop(upstream)
        upstream.close(self._max_idle)
        if upstream.is_sent:
            self._attempts_sent -= self._is_free(attempt)
        record.settle(attempt, upstream.status)
        if attempt.response is not None:
            self._last_error_response = attempt.response
        self.attempts.append(attempt)
        self._slots.has_attempted = True
        self._job.record_events(upstream.job.events, upstream.job.events_at)
        self._job.tried_endpoints.add(upstream.row.id)
        if attempt.outcome is AttemptOutcome.DELIVERED:
            if not self.progress.is_failure:
                self._harm.record_harmless_parts(upstream)
        else:
            self._log_attempt(upstream, attempt)

    @property
    def _has_another_attempt(self) -> bool:
        """Whether the request may be sent again if the attempt that begins now fails."""
        route = self._route
        return (
            route.retry_mode is not RetryMode.NEVER
            and self._attempts_sent + 1 < route.max_attempts
        )

    def _silent_at(self, upstream: UpstreamRequest) -> float:
        """Return when an endpoint that sends nothing is silent, in monotonic seconds."""
        since = max(upstream.progressed_at, upstream.silence_noted_at)
        return since + self._silence_timeout_s(upstream)

    def _silence_timeout_s(self, upstream: UpstreamRequest) -> float:
        """Return after which silence an endpoint is given up for another, in seconds.

        Its work is overdue then, or the caller has only the time left in which the work is
        done elsewhere unless it is overdue there too.
        """
        expected_s = self._expected_silence_s(upstream)
        silent_since = max(upstream.progressed_at, upstream.silence_noted_at)
        latest_s = self._gives_up_at - OVERDUE_FACTOR * upstream.elsewhere_s - silent_since
        if not upstream.job.found_free_slot and upstream.first_event_at is None:
            # It waits there for other requests, and when these end is not known.
            return latest_s if latest_s > expected_s else math.inf
        overdue_after_s = overdue_s(expected_s)
        return min(overdue_after_s, latest_s) if latest_s > expected_s else overdue_after_s

    def _expected_silence_s(self, upstream: UpstreamRequest) -> float:
        """Return after which time an endpoint is expected to send something, in seconds."""
        job, row, now = upstream.job, upstream.row, self._ctx.now()
        if upstream.first_event_at is not None:
            return row.speed.gap_s * row.load.factor(now)
        tokens = job.prefill_ahead + (job.prefill_tokens or job.prompt_tokens)
        return next_result_s(job, row, tokens, now)

    @property
    def _gives_up_at(self) -> float:
        """Monotonic time at which the caller gives up if nothing more arrives."""
        return min(self._deadline, next_event_deadline(self._route, self._last_event_at))

    def _hedge_barrier(self) -> HedgeBarrier | None:
        """Return why no second upstream request may be sent now beside a silent one."""
        route, job = self._route, self._job
        is_begun = self.progress.events > 0
        if route.retry_mode is RetryMode.NEVER or (
            is_begun and route.retry_mode is not RetryMode.RESUME
        ):
            return HedgeBarrier.RETRY_MODE
        if is_begun and not self._sequence.can_resume:
            return HedgeBarrier.POSITION
        if self._attempts_sent >= route.max_attempts:
            return HedgeBarrier.ATTEMPTS
        if self._slots.is_quarantined:
            return HedgeBarrier.QUARANTINE
        if not self._ctx.has_retry_left(job.service):
            return HedgeBarrier.RETRY_BUDGET
        return None if self._has_untried_endpoint() else HedgeBarrier.NO_ENDPOINT

    def _has_untried_endpoint(self) -> bool:
        """Return whether an endpoint serves that the request was not sent to."""
        job = self._job
        version = self._slots.version_of(job)
        others = self._ctx.endpoints.accepting(job.service, job.allowed_halls, version)
        tried = {*job.tried_endpoints, *(upstream.row.id for upstream in self._open)}
        return any(row.id not in tried for row in others)

    def _could_go_on_elsewhere(self) -> bool:
        """Return whether the request could be sent once more if an endpoint refuses it."""
        has_budget = self._ctx.has_retry_left(self._job.service)
        return has_budget and self._has_untried_endpoint()

    @singledispatchmethod
    def _deliver(self, item: Item, upstream: UpstreamRequest) -> Attempt | None:
        """Pass on an item of a response if it is usable.

        Returns:
            How the attempt ended; ``None`` if the response goes on.
        """
        raise TypeError(f"no item of a response: {item!r} of {upstream.row.id}")

    @_deliver.register
    def _deliver_events(
        self, item: EventBatch, upstream: UpstreamRequest
    ) -> Attempt | None:
        if upstream.is_of_other and upstream.goes_on:
            return self._reject_other(upstream)
        now = item.at
        events = item.events
        if item.is_first:
            self._record_success(upstream.row)
            self._record_prefill_end(upstream, now)
            self._slots.record_origin(upstream)
        upstream.pace.count(len(events), now, self._ctx.stalls)
        if upstream.has_run_without_harm(now):
            self._harm.record_harmless_parts(upstream)
        upstream.job.record_events(upstream.job.events + len(events), now)
        selection = self._sequence.accept(upstream.events, events)
        self._ctx.counters.events_dropped += selection.dropped
        if selection.events:
            self.progress.record(len(selection.events), now)
            self._start_stream(item.head)
            self._caller.send_data(b"".join(event.data for event in selection.events))
        if selection.error is not None:
            raise selection.error
        return None

    @_deliver.register
    def _deliver_end(self, item: StreamEnd, upstream: UpstreamRequest) -> Attempt:
        if upstream.is_of_other and upstream.goes_on:
            return self._reject_other(upstream)
        self._sequence.check_end(upstream.events)
        self._start_stream(item.head)
        self._caller.send_data(item.remainder)
        self._caller.end()
        return Attempt(AttemptOutcome.DELIVERED, upstream.row.id)

    @_deliver.register
    def _deliver_response(self, item: PlainResponse, upstream: UpstreamRequest) -> Attempt:
        row = upstream.row
        status = item.head.status
        if self._is_unproven(status):
            return self._hold_back(status, row)
        self._record_success(row)
        if status in SERVER_ERRORS:
            response = (item.head, item.body)
            return Attempt(AttemptOutcome.FAILED, row.id, f"status {status}", response)
        if self._caller.head_sent:
            return Attempt(AttemptOutcome.FAILED, row.id, f"status {status} on resuming")
        now = self._ctx.now()
        if not self._ctx.stalls.has_stood_still(upstream.sent_at, now):
            row.record_measurement(
                SampleKind.PLAIN,
                now - upstream.sent_at,
                percent=row.load.mean_percent(upstream.sent_at, now),
            )
        self.progress.record(0, now)
        self.progress.is_failure = status >= MIN_FAILURE_STATUS
        self._caller.send_response(item.head, item.body)
        return Attempt(AttemptOutcome.DELIVERED, row.id)

    def _is_unproven(self, status: int) -> bool:
        """Return whether a response that proves nothing has a status that needs proof."""
        return self._ctx.adapter.promises_not_run(status)

    def _hold_back(self, status: int, row: EndpointRow) -> Attempt:
        """Record a response that would tell the caller what is not proven."""
        if status in OVERLOAD_FAILURES:
            row.record_failure(self._ctx.now())
        else:
            self._record_success(row)
        self._ctx.counters.statuses_replaced[status] += 1
        detail = f"status {status} without proof that the request was not run"
        return Attempt(AttemptOutcome.UNPROVEN, row.id, detail)

    @_deliver.register
    def _record_refusal(self, item: NotRunResponse, upstream: UpstreamRequest) -> Attempt:
        row = upstream.row
        if item.status in OVERLOAD_STATUSES:
            row.record_failure(self._ctx.now())
        detail = f"endpoint refused: status {item.status}"
        if not item.is_complete:
            detail += ", its body did not end"
        return Attempt(AttemptOutcome.NOT_RUN, row.id, detail)

    @_deliver.register
    def _record_misdirection(
        self, _: MisdirectedResponse, upstream: UpstreamRequest
    ) -> Attempt:
        row = upstream.row
        row.mark_address_reused(self._ctx.now())
        detail = "another endpoint uses the address"
        return Attempt(AttemptOutcome.MISDIRECTED, row.id, detail)

    def _reject_other(self, upstream: UpstreamRequest) -> Attempt:
        """Record that a process ran what was meant for the endpoint of the record.

        Its software version is not known, so that nothing of it may be joined.
        """
        row = upstream.row
        row.mark_address_reused(self._ctx.now())
        detail = "another endpoint uses the address, and ran the request"
        return Attempt(AttemptOutcome.LOST, row.id, detail)

    def _is_free(self, attempt: Attempt) -> bool:
        """Return whether an attempt does not count against those that the route allows.

        The endpoint of a misdirected one was gone before, and a response that has begun
        cannot be refused any more because another endpoint is full.
        """
        if attempt.outcome is AttemptOutcome.NOT_RUN:
            return self._caller.head_sent
        return attempt.outcome is AttemptOutcome.MISDIRECTED

    def _record_success(self, row: EndpointRow) -> None:
        row.record_success(self._ctx.now())
        self._ctx.crashes.record_alive(row)

    def _start_stream(self, head: RawHead) -> None:
        """Send the head before the first event; a resumed stream keeps its first head."""
        if not self._caller.head_sent:
            self._caller.send_head(head)

    def _record_prefill_end(self, upstream: UpstreamRequest, now: float) -> None:
        """Record the end of the prefill and the time to the first event."""
        job, row = upstream.job, upstream.row
        is_measured = not self._ctx.stalls.has_stood_still(upstream.sent_at, now)
        if job.found_free_slot and is_measured:
            tokens = job.prefill_ahead + job.prefill_tokens
            row.record_measurement(
                SampleKind.FIRST_EVENT,
                now - upstream.sent_at,
                tokens,
                row.load.mean_percent(upstream.sent_at, now),
            )
        self._ctx.scheduler.record_prefill_end(job)
        self._record_cached_prefix(row, now)

    def _record_cached_prefix(self, row: EndpointRow, now: float) -> None:
        for part, _ in self._req.prefix:
            row.record_prefix(part, now)

    def _log_silence(self, upstream: UpstreamRequest, second: str) -> None:
        log(
            Event.ENDPOINT_SILENT,
            rid=self._req.rid,
            endpoint=upstream.row.id,
            silent_ms=round((self._ctx.now() - upstream.progressed_at) * 1000),
            events=self.progress.events,
            second=second,
        )

    def _log_attempt(self, upstream: UpstreamRequest, attempt: Attempt) -> None:
        log(
            Event.ATTEMPT_ENDED,
            rid=self._req.rid,
            fingerprint=self._fingerprint.hex(),
            endpoint=attempt.endpoint,
            version=upstream.placement.software_version,
            resumed_after=self._sequence.last_id,
            fate=attempt.outcome.value,
            detail=attempt.detail,
            limit=attempt.limit.value if attempt.limit else None,
            held_ms=round((self._ctx.now() - self._req.arrived_at) * 1000),
        )


def _not_run(reason: Reason, detail: str = "") -> Refusal:
    """Return the refusal of a request that no endpoint has run."""
    return Refusal(Verdict.NOT_RUN, reason, detail, retry_after_s=DEFAULT_RETRY_AFTER_S)
