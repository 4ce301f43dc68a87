"""One request from its arrival to its final response: checks, limits and accounting."""

from __future__ import annotations

import math
import traceback

from ..errors import CallerGoneError, EntryStoppingError
from ..events import Event, log
from ..verdict import Reason, Refusal, Verdict
from .context import Context
from .crash_reporter import Source
from .evidence import ExecutionRecord, refusal_of
from .fingerprint import fingerprint_of, part_fingerprints
from .forwarder import Forwarder
from .jobs import DEFAULT_RETRY_AFTER_S, Job
from .outcomes import Outcome, classify_response
from .patience import HONOURED_FRACTION, honoured_retry_after_s, max_retry_after_s
from .pool import idle_share
from .quarantine import SERIALIZED_REFUSAL, Admission
from .request_plan import RequestPlan
from .request_summary import RequestSummary
from .requests import InboundRequest
from .response_sink import ResponseSink
from .routing_config import ConfigRevision, Organisation, Route

OUTDATED_REFUSAL = Refusal(
    Verdict.NOT_RUN,
    Reason.OUTDATED,
    "the configuration is not known to be the newest",
    retry_after_s=DEFAULT_RETRY_AFTER_S,
)
"""Refusal of a request that a newer configuration may allow."""


class RequestHandler:
    """Handles one request from its arrival to its final response.

    Args:
        ctx: State shared by all requests of the entry.
        revision: The configuration that was current at the arrival.
        req: The request.
        caller: Where the response goes.
    """

    def __init__(
        self,
        ctx: Context,
        revision: ConfigRevision,
        req: InboundRequest,
        caller: ResponseSink,
    ) -> None:
        self._ctx = ctx
        self._revision = revision
        self._req = req
        self._caller = caller
        self._forwarder: Forwarder | None = None
        self._plan: RequestPlan | None = None
        self._job: Job | None = None

    def run(self) -> None:
        """Handle the request and account for how it ended.

        Raises:
            CallerGoneError: The caller closed its connection.
        """
        self._ctx.counters.requests += 1
        try:
            refusal = self._respond()
        except CallerGoneError as exc:
            self._observe_duration("left")
            self._record_end(Event.CALLER_LEFT, Outcome.LEFT, detail=str(exc))
            raise
        except EntryStoppingError:
            refusal = self._execution.refusal(_refusal_of_ended(Reason.STOPPING))
        except Exception as exc:  # noqa: BLE001
            refusal = self._handle_fault(exc)
        self._observe_duration("answered" if refusal is None else refusal.verdict.value)
        if refusal is None:
            self._ctx.counters.answered += 1
            self._record_end(Event.REQUEST_ANSWERED, self._classify_response())
            return
        self._refuse(refusal)

    def _handle_fault(self, exc: Exception) -> Refusal | None:
        """Log an unexpected error; return the refusal, if the response is not complete."""
        self._ctx.counters.internal_errors += 1
        rid = self._req.rid
        log(Event.INTERNAL_ERROR, repr(exc), trace=traceback.format_exc(), rid=rid)
        if self._caller.is_complete:
            return None
        return self._execution.refusal(_refusal_of_ended(Reason.INTERNAL_ERROR))

    @property
    def _execution(self) -> ExecutionRecord:
        """What is known about the attempts so far."""
        return self._forwarder.execution if self._forwarder else ExecutionRecord()

    def _observe_duration(self, ended: str) -> None:
        """Record the time to the end of the response, by route and by how it ended."""
        self._ctx.metrics.observe(
            "dockreach_direct_answer_seconds",
            "Time from a request's arrival to the end of its answer",
            self._ctx.now() - self._req.arrived_at,
            {"route": self._plan.route.name if self._plan else "none", "ended": ended},
        )

    def _respond(self) -> Refusal | None:
        """Send the response to the caller; return a refusal if there is none."""
        req = self._req
        denial = self._denial()
        if denial is not None:
            is_current = self._confirm_configuration()
            denial = self._denial()
            if denial is not None:
                return denial if is_current else OUTDATED_REFUSAL
        route = self._revision.match(req.host, req.path)
        assert route is not None
        organisation = self._revision.organisation_of(req.key)
        if not req.rid:
            return Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, "no request id")
        plan = self._make_plan(route, organisation)
        self._plan = plan
        self._job = self._make_job(plan)
        if plan.permitted_regions is not None and not self._ctx.halls_in(
            plan.permitted_regions
        ):
            return Refusal(Verdict.NOT_RUN, Reason.NO_REGION, "no region may run it")
        self._ctx.retry_budget.record_request(plan.service, self._ctx.now())
        quarantine = self._ctx.crashes.quarantine
        admission = quarantine.admit(*plan.suspects)
        if admission is Admission.QUARANTINED:
            source = Source(req.path, plan.organisation_name)
            self._ctx.crashes.record_sources(plan.suspects, source)
            return quarantine.refusal(*plan.suspects)
        if admission is Admission.SERIALIZED:
            return SERIALIZED_REFUSAL
        refusal = self._charge_quota(plan)
        # A refusal is falsy, so compare with `None` instead of testing its truth.
        if refusal is not None:
            return refusal
        return self._forward(plan, self._job, is_probe=admission is Admission.PROBE)

    def _denial(self) -> Refusal | None:
        """Return the refusal if the configuration lacks the request's route or its key."""
        route = self._revision.match(self._req.host, self._req.path)
        if route is None:
            return Refusal(Verdict.NOT_RUN, Reason.UNKNOWN_SERVICE)
        needs_key = self._revision.organisations and not route.is_public
        if needs_key and self._revision.organisation_of(self._req.key) is None:
            return Refusal(Verdict.NOT_RUN, Reason.BAD_KEY)
        return None

    def _confirm_configuration(self) -> bool:
        """Go on with the newest configuration; return whether it is known to be that."""
        req = self._req
        left_s = math.inf if req.deadline_s is None else req.deadline_s
        is_current = self._ctx.configuration.confirm(
            req.arrived_at, HONOURED_FRACTION * left_s
        )
        self._revision = self._ctx.configuration.revision or self._revision
        return is_current

    def _make_plan(self, route: Route, organisation: Organisation | None) -> RequestPlan:
        """Return how the request is to be handled under the configuration."""
        req = self._req
        deadline = req.arrived_at + route.timeout_s
        if req.deadline_s is not None:
            deadline = min(deadline, req.arrived_at + req.deadline_s)
        since_first_attempt_s = self._ctx.first_attempts.first_attempt_age_s(
            route.name, req.deadline_s
        )
        # A stream that is taken up goes on at the service that began it.
        is_take_up = bool(req.last_event_id and req.stream_rid)
        service = route.service_for(req.stream_rid if is_take_up else req.rid)
        return RequestPlan(
            route=route,
            service=service,
            organisation=organisation,
            quota_tokens=self._quota_tokens(organisation),
            deadline=deadline,
            first_attempt_at=req.arrived_at - since_first_attempt_s,
            fingerprint=fingerprint_of(req, organisation.name if organisation else ""),
            part_fingerprints=part_fingerprints(req, service),
            permitted_regions=_permitted_regions(route, organisation),
        )

    def _quota_tokens(self, organisation: Organisation | None) -> int:
        if self._req.has_token_counts:
            return self._req.prompt_tokens + self._req.max_output_tokens
        return organisation.default_tokens if organisation else 0

    def _charge_quota(self, plan: RequestPlan) -> Refusal | None:
        """Charge the request's tokens; return a refusal if its quota is exceeded."""
        if plan.organisation is None:
            return None
        exceeded = self._ctx.quotas.admit(
            plan.organisation,
            plan.quota_tokens,
            self._ctx.now(),
            tier=plan.route.tier,
            max_retry_after_s=self._max_retry_after_s(),
        )
        if exceeded is None:
            return None
        return Refusal(
            Verdict.NOT_RUN,
            Reason.LIMIT,
            str(exceeded),
            retry_after_s=exceeded.retry_after_s,
        )

    def _max_retry_after_s(self) -> float:
        """Return up to when the caller honours Retry-After, in seconds."""
        if self._job is None:
            return math.inf
        return max_retry_after_s(self._job.gives_up_at, self._ctx.now())

    def _forward(self, plan: RequestPlan, job: Job, *, is_probe: bool) -> Refusal | None:
        organisation = plan.organisation
        charged_at = self._ctx.now()
        forwarder = Forwarder(
            self._ctx,
            job,
            self._req,
            self._caller,
            organisation=plan.organisation_name,
            suspects=plan.suspects,
            is_probe=is_probe,
            max_idle=self._max_idle(plan.service),
        )
        self._forwarder = forwarder
        try:
            return forwarder.run()
        finally:
            if not forwarder.execution.may_have_run and organisation is not None:
                self._ctx.quotas.refund(organisation, plan.quota_tokens, charged_at)

    def _make_job(self, plan: RequestPlan) -> Job:
        req = self._req
        route = plan.route
        own_tier = plan.organisation.tier if plan.organisation else None
        tier = route.tier if own_tier is None else own_tier
        job = Job(
            rid=req.rid,
            route=route,
            service=plan.service,
            rank=(tier, route.tier),
            prompt_tokens=req.prompt_tokens,
            expected_events=self._expected_events(plan.service),
            is_length_estimated=req.expected_output_tokens > 0,
            prefix=req.prefix,
            arrived_at=req.arrived_at,
            queue_deadline=plan.deadline,
            deadline=plan.deadline,
            allowed_halls=None
            if plan.permitted_regions is None
            else self._ctx.halls_in(plan.permitted_regions),
            suspects=plan.suspects,
            organisation=plan.organisation_name,
            hall=self._ctx.hall,
            caller_deadline=math.inf
            if req.deadline_s is None
            else req.arrived_at + req.deadline_s,
        )
        job.queue_deadline = self._ctx.work.queue_deadline(
            job, req.arrived_at, self._ctx.now()
        )
        return job

    def _max_idle(self, service: str) -> int:
        """Return the maximum number of idle connections to an endpoint of a service."""
        config = self._revision.services.get(service)
        if config is None:
            return 1
        return idle_share(config.max_connections, self._ctx.entry_count)

    def _expected_events(self, service: str) -> float:
        """Return the expected number of events in the response."""
        config = self._revision.services.get(service)
        tokens = self._req.expected_output_tokens or self._req.max_output_tokens
        return tokens / (config.event_tokens if config else 1.0)

    def _classify_response(self) -> Outcome:
        """Classify the complete response by how well it served its caller."""
        if self._plan is None or self._forwarder is None:
            return Outcome.FAILED
        return classify_response(
            self._plan.route, self._forwarder.progress, self._plan.first_attempt_at
        )

    def _refuse(self, refusal: Refusal) -> None:
        if refusal.retry_after_s == DEFAULT_RETRY_AFTER_S and self._job is not None:
            # Any time will do that the caller honours.
            after_s = honoured_retry_after_s(
                DEFAULT_RETRY_AFTER_S, self._job.gives_up_at, self._ctx.now()
            )
            refusal = refusal._replace(retry_after_s=after_s)
        counters = self._ctx.counters
        if self._caller.head_sent:
            counters.cut += 1
            self._record_end(Event.REQUEST_CUT, Outcome.CUT, refusal)
            self._caller.abort()
            return
        if refusal.verdict is Verdict.NOT_RUN:
            counters.refused += 1
            self._record_end(Event.REQUEST_REFUSED, Outcome.REFUSED, refusal)
        else:
            counters.lost += 1
            self._record_end(Event.REQUEST_LOST, Outcome.LOST, refusal)
        self._caller.send_response(*self._ctx.adapter.refusal(refusal, self._req.rid))

    def _record_end(
        self,
        event: Event,
        outcome: Outcome,
        refusal: Refusal | None = None,
        *,
        detail: str = "",
    ) -> None:
        """Count and log how the request ended.

        Args:
            event: The event to log.
            outcome: How the request ended.
            refusal: Why it has no complete response; ``None`` if it has one.
            detail: Why it ended, if there is no refusal.
        """
        summary = RequestSummary(
            self._ctx, self._req, self._plan, self._forwarder, self._caller
        )
        summary.emit(event, outcome, refusal, detail=detail, revision=self._revision.number)


def refusal_after_fault(*, may_have_run: bool) -> Refusal:
    """Return the refusal of a request that an unexpected error ended.

    Args:
        may_have_run: Whether it may have been sent to an endpoint.
    """
    proposed = _refusal_of_ended(Reason.INTERNAL_ERROR)
    return refusal_of(proposed, may_have_run=may_have_run)


def _refusal_of_ended(reason: Reason) -> Refusal:
    """Return the refusal of a request that the entry itself ends before it is run."""
    return Refusal(Verdict.NOT_RUN, reason, retry_after_s=DEFAULT_RETRY_AFTER_S)


def _permitted_regions(
    route: Route, organisation: Organisation | None
) -> frozenset[str] | None:
    """Return the regions in which a request may run; ``None`` for all.

    If both the route and the organisation restrict the regions, both restrictions apply.
    """
    allowed = [route.regions, organisation.regions if organisation else frozenset()]
    restrictions = [regions for regions in allowed if regions]
    return frozenset.intersection(*restrictions) if restrictions else None
