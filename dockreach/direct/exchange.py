"""One request from its arrival to its final answer: checks, limits, and what is told."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..errors import CallerGoneError
from ..events import Event, log
from ..verdict import Reason, Refusal, Verdict
from .attempt import NOWHERE
from .caller_side import CallerSide
from .context import Context
from .fleet import Organisation, Revision, Route
from .forward import Forward
from .jobs import Job, patience_s
from .outcomes import Ending, Outcome, Progress, judge_answer
from .pool import idle_share
from .requests import InboundRequest


@dataclass(frozen=True, slots=True)
class _Call:
    """What the configuration says of one request.

    Attributes:
        organisation: Whose key it carries; ``None`` on a public route.
        tokens: What it counts against the organisation's limit.
        ends: Steady time at which the caller or the route gives it up, in seconds.
        tried_at: Steady time of its caller's first try, in seconds.
    """

    route: Route
    service: str
    organisation: Organisation | None
    tokens: int
    ends: float
    tried_at: float


class Exchange:
    """One request from its arrival to its final answer.

    Args:
        ctx: What the entry knows.
        revision: The configuration in force at the arrival.
        req: The request.
        caller: Where the answer goes.
    """

    def __init__(
        self, ctx: Context, revision: Revision, req: InboundRequest, caller: CallerSide
    ) -> None:
        self._ctx = ctx
        self._revision = revision
        self._req = req
        self._caller = caller
        self._forwarded: Forward | None = None
        self._call: _Call | None = None

    def run(self) -> None:
        """Answer the request.

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
        """Count the time to the end of the answer, by route and by how it ended."""
        self._ctx.metrics.observe(
            "dockreach_direct_answer_seconds",
            "Time from a request's arrival to the end of its answer",
            self._ctx.now() - self._req.arrived,
            {"route": self._call.route.name if self._call else "none", "ended": ended},
        )

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
        call = self._declared(route, organisation)
        self._call = call
        self._ctx.retries.count_request(call.service, self._ctx.now())
        refusal = self._over_limit(call)
        # A refusal is falsy, so that it never passes for an answer.
        return refusal if refusal is not None else self._forward(call)

    def _declared(self, route: Route, organisation: Organisation | None) -> _Call:
        """Return what the configuration says of the request."""
        req = self._req
        ends = req.arrived + route.timeout_s
        if req.deadline_s is not None:
            ends = min(ends, req.arrived + req.deadline_s)
        tried_s = self._ctx.first_tries.tried_s(route.name, req.deadline_s)
        return _Call(
            route=route,
            service=route.service_for(self._req.rid),
            organisation=organisation,
            tokens=self._tokens(organisation),
            ends=ends,
            tried_at=req.arrived - tried_s,
        )

    def _tokens(self, organisation: Organisation | None) -> int:
        if self._req.has_token_counts:
            return self._req.prompt_tokens + self._req.most_tokens
        return organisation.plain_tokens if organisation else 0

    def _over_limit(self, call: _Call) -> Refusal | None:
        """Spend the request's tokens; return a refusal if they are not to be had."""
        if call.organisation is None:
            return None
        over = self._ctx.spending.admit(
            call.organisation, call.tokens, self._ctx.now(), tier=call.route.tier
        )
        if over is None:
            return None
        return Refusal(Verdict.NOT_RUN, Reason.LIMIT, str(over), retry_after_s=over.wait_s)

    def _forward(self, call: _Call) -> Refusal | None:
        organisation = call.organisation
        forward = Forward(
            self._ctx,
            call.route,
            self._req,
            self._caller,
            organisation=organisation.name if organisation else "",
            ends=call.ends,
            most_idle=self._most_idle(call.service),
        )
        self._forwarded = forward
        try:
            return forward.run(self._job(call))
        finally:
            if not forward.may_have_run and organisation is not None:
                self._ctx.spending.refund(organisation, call.tokens, self._ctx.now())

    def _job(self, call: _Call) -> Job:
        req = self._req
        route = call.route
        own_tier = call.organisation.tier if call.organisation else None
        tier = route.tier if own_tier is None else own_tier
        left_s = call.ends - req.arrived
        return Job(
            rid=req.rid,
            route=route,
            service=call.service,
            rank=(tier, route.tier),
            prompt_tokens=req.prompt_tokens,
            events=self._likely_events(call.service),
            prefix=req.prefix,
            arrived=req.arrived,
            give_up=req.arrived + patience_s(route, left_s),
            ends=call.ends,
            tried_at=call.tried_at,
        )

    def _most_idle(self, service: str) -> int:
        """Return how many idle connections may be kept to an endpoint of a service."""
        declared = self._revision.services.get(service)
        if declared is None:
            return 1
        return idle_share(declared.max_connections, self._ctx.entries)

    def _likely_events(self, service: str) -> float:
        """Return how many events the answer is likely to have."""
        declared = self._revision.services.get(service)
        tokens = self._req.hint_tokens or self._req.most_tokens
        return tokens / (declared.event_tokens if declared else 1.0)

    def _judge(self) -> Outcome:
        """Return how the whole answer served its caller."""
        if self._call is None or self._forwarded is None:
            return Outcome.FAILED
        return judge_answer(self._call.route, self._forwarded.progress, self._call.tried_at)

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
        reason = refusal.reason.value if refusal is not None else ""
        held_s = self._ctx.now() - self._req.arrived
        call = self._call
        if call is not None:
            ending = Ending(
                route=call.route.name,
                tier=call.route.tier,
                outcome=outcome,
                reason=reason,
                returned=call.tried_at < self._req.arrived,
            )
            self._ctx.tally.add(ending, held_s / call.route.objective_s)
            self._observe_first(call)
        log(
            event,
            rid=self._req.rid,
            revision=self._revision.number,
            outcome=outcome.value,
            reason=reason,
            detail=refusal.detail if refusal is not None else "",
            held_ms=round(held_s * 1000),
            peers=self._ctx.entries - 1,
            **self._call_fields(),
            **self._forward_fields(),
        )

    def _observe_first(self, call: _Call) -> None:
        """Count the time from the caller's first try to what it got first."""
        first_at = self._forwarded.progress.first_at if self._forwarded else None
        if first_at is not None:
            self._ctx.metrics.observe(
                "dockreach_direct_first_event_seconds",
                "Time from a caller's first try to the first event or a plain answer",
                first_at - call.tried_at,
                {"route": call.route.name, "tier": str(call.route.tier)},
            )

    def _call_fields(self) -> dict[str, Any]:
        """Return what the configuration says of the request, for its log line."""
        call = self._call
        if call is None:
            return {"route": "none", "organisation": ""}
        return {
            "route": call.route.name,
            "tier": call.route.tier,
            "organisation": call.organisation.name if call.organisation else "",
            "objective_ms": round(call.route.objective_s * 1000),
            "tried_ms": round((self._req.arrived - call.tried_at) * 1000),
        }

    def _forward_fields(self) -> dict[str, Any]:
        """Return what was known when the request was placed, for its log line."""
        forwarded = self._forwarded
        placement = (forwarded and forwarded.placement) or NOWHERE
        progress = forwarded.progress if forwarded else Progress()
        first_s = (progress.first_at or self._req.arrived) - self._req.arrived
        return {
            "attempts": len(forwarded.attempts) if forwarded else 0,
            "events": progress.events,
            "first_ms": round(first_s * 1000),
            "gap_ms": round(progress.longest_gap_s * 1000),
            "endpoint": placement.endpoint,
            "waited_ms": round(placement.waited_s * 1000),
            "own": placement.own,
            "others": placement.others,
            "slots": placement.slots,
        }
