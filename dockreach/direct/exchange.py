"""One request from its arrival to its final response: checks, limits and accounting."""

from __future__ import annotations

from ..errors import CallerGoneError
from ..events import Event
from ..verdict import Reason, Refusal, Verdict
from .call import Call
from .caller_side import CallerSide
from .context import Context
from .crash_reporter import Source
from .fingerprint import fingerprint_of
from .forward import Forward
from .jobs import Job, queue_timeout_s
from .outcomes import Outcome, classify_response
from .pool import idle_share
from .quarantine import QUARANTINED_REFUSAL, SERIALIZED_REFUSAL, Admission
from .request_summary import RequestSummary
from .requests import InboundRequest
from .routing_config import ConfigRevision, Organisation, Route


class Exchange:
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
        caller: CallerSide,
    ) -> None:
        self._ctx = ctx
        self._revision = revision
        self._req = req
        self._caller = caller
        self._forwarded: Forward | None = None
        self._call: Call | None = None

    def run(self) -> None:
        """Handle the request and account for how it ended.

        Raises:
            CallerGoneError: The caller closed its connection.
        """
        self._ctx.counters.requests += 1
        try:
            refusal = self._answer()
        except CallerGoneError:
            self._observe("left")
            self._end(Event.CALLER_LEFT, Outcome.LEFT)
            raise
        self._observe("answered" if refusal is None else refusal.verdict.value)
        if refusal is None:
            self._ctx.counters.answered += 1
            self._end(Event.REQUEST_ANSWERED, self._judge())
            return
        self._refuse(refusal)

    def _observe(self, ended: str) -> None:
        """Record the time to the end of the response, by route and by how it ended."""
        self._ctx.metrics.observe(
            "dockreach_direct_answer_seconds",
            "Time from a request's arrival to the end of its answer",
            self._ctx.now() - self._req.arrived,
            {"route": self._call.route.name if self._call else "none", "ended": ended},
        )

    def _answer(self) -> Refusal | None:
        """Send the response to the caller; return a refusal if there is none."""
        req = self._req
        route = self._revision.match(req.host, req.path)
        if route is None:
            return Refusal(Verdict.NOT_RUN, Reason.UNKNOWN_SERVICE)
        organisation = self._revision.organisation_of(req.key)
        if organisation is None and self._revision.organisations and not route.is_public:
            return Refusal(Verdict.NOT_RUN, Reason.BAD_KEY)
        if not req.rid:
            return Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, "no request id")
        plan = self._declared(route, organisation)
        self._call = plan
        if plan.regions is not None and not self._ctx.halls_in(plan.regions):
            return Refusal(Verdict.NOT_RUN, Reason.NO_REGION, "no region may run it")
        self._ctx.retries.record_request(plan.service, self._ctx.now())
        admission = self._ctx.crashes.quarantine.admit(plan.fingerprint)
        if admission is Admission.QUARANTINED:
            self._ctx.crashes.record_source(
                plan.fingerprint, Source(req.path, plan.organisation_name)
            )
            return QUARANTINED_REFUSAL
        if admission is Admission.SERIALIZED:
            return SERIALIZED_REFUSAL
        refusal = self._over_limit(plan)
        # A refusal is falsy, so that it is never mistaken for a response.
        if refusal is not None:
            return refusal
        return self._forward(plan, is_trial=admission is Admission.PROBE)

    def _declared(self, route: Route, organisation: Organisation | None) -> Call:
        """Return how the request is to be handled under the configuration."""
        req = self._req
        deadline = req.arrived + route.timeout_s
        if req.deadline_s is not None:
            deadline = min(deadline, req.arrived + req.deadline_s)
        since_first_attempt_s = self._ctx.first_tries.first_attempt_age_s(
            route.name, req.deadline_s
        )
        return Call(
            route=route,
            service=route.service_for(self._req.rid),
            organisation=organisation,
            tokens=self._tokens(organisation),
            ends=deadline,
            tried_at=req.arrived - since_first_attempt_s,
            fingerprint=fingerprint_of(req, organisation.name if organisation else ""),
            regions=_regions(route, organisation),
        )

    def _tokens(self, organisation: Organisation | None) -> int:
        if self._req.has_token_counts:
            return self._req.prompt_tokens + self._req.most_tokens
        return organisation.default_tokens if organisation else 0

    def _over_limit(self, call: Call) -> Refusal | None:
        """Charge the request's tokens; return a refusal if its quota is exceeded."""
        if call.organisation is None:
            return None
        exceeded = self._ctx.spending.admit(
            call.organisation, call.tokens, self._ctx.now(), tier=call.route.tier
        )
        if exceeded is None:
            return None
        return Refusal(
            Verdict.NOT_RUN,
            Reason.LIMIT,
            str(exceeded),
            retry_after_s=exceeded.retry_after_s,
        )

    def _forward(self, call: Call, *, is_trial: bool) -> Refusal | None:
        organisation = call.organisation
        charged_at = self._ctx.now()
        forwarder = Forward(
            self._ctx,
            self._job(call),
            self._req,
            self._caller,
            organisation=call.organisation_name,
            fingerprint=call.fingerprint,
            is_trial=is_trial,
            most_idle=self._most_idle(call.service),
        )
        self._forwarded = forwarder
        try:
            return forwarder.run()
        finally:
            if not forwarder.may_have_run and organisation is not None:
                self._ctx.spending.refund(organisation, call.tokens, charged_at)

    def _job(self, call: Call) -> Job:
        req = self._req
        route = call.route
        own_tier = call.organisation.tier if call.organisation else None
        tier = route.tier if own_tier is None else own_tier
        time_left_s = call.ends - req.arrived
        return Job(
            rid=req.rid,
            route=route,
            service=call.service,
            rank=(tier, route.tier),
            prompt_tokens=req.prompt_tokens,
            expected_events=self._likely_events(call.service),
            prefix=req.prefix,
            arrived_at=req.arrived,
            queue_deadline=req.arrived + queue_timeout_s(route, time_left_s),
            deadline=call.ends,
            estimated_first_attempt_at=call.tried_at,
            allowed_halls=None
            if call.regions is None
            else self._ctx.halls_in(call.regions),
            fingerprint=call.fingerprint,
        )

    def _most_idle(self, service: str) -> int:
        """Return the maximum number of idle connections to an endpoint of a service."""
        declared = self._revision.services.get(service)
        if declared is None:
            return 1
        return idle_share(declared.max_connections, self._ctx.entries)

    def _likely_events(self, service: str) -> float:
        """Return the expected number of events in the response."""
        declared = self._revision.services.get(service)
        tokens = self._req.hint_tokens or self._req.most_tokens
        return tokens / (declared.event_tokens if declared else 1.0)

    def _judge(self) -> Outcome:
        """Classify the complete response by how well it served its caller."""
        if self._call is None or self._forwarded is None:
            return Outcome.FAILED
        return classify_response(
            self._call.route, self._forwarded.progress, self._call.tried_at
        )

    def _refuse(self, refusal: Refusal) -> None:
        counters = self._ctx.counters
        if self._caller.head_sent:
            counters.cut += 1
            self._end(Event.REQUEST_CUT, Outcome.CUT, refusal)
            self._caller.abort()
            return
        if refusal.verdict is Verdict.NOT_RUN:
            counters.refused += 1
            self._end(Event.REQUEST_REFUSED, Outcome.REFUSED, refusal)
        else:
            counters.lost += 1
            self._end(Event.REQUEST_LOST, Outcome.LOST, refusal)
        self._caller.send_whole(*self._ctx.dialect.refusal(refusal, self._req.rid))

    def _end(self, event: Event, outcome: Outcome, refusal: Refusal | None = None) -> None:
        """Count and log how the request ended."""
        record = RequestSummary(self._ctx, self._req, self._call, self._forwarded)
        record.emit(event, outcome, refusal, revision=self._revision.number)


def _regions(route: Route, organisation: Organisation | None) -> frozenset[str] | None:
    """Return the regions in which a request may run; ``None`` for all.

    If both the route and the organisation restrict the regions, both restrictions apply.
    """
    allowed = [route.regions, organisation.regions if organisation else frozenset()]
    restrictions = [regions for regions in allowed if regions]
    return frozenset.intersection(*restrictions) if restrictions else None
