"""Metrics and log line of a request that has ended."""

from __future__ import annotations

import enum
import math
from typing import Any

from ..events import Event, log
from ..verdict import Refusal
from .attempt import NO_PLACEMENT, AttemptOutcome
from .context import Context
from .forwarder import Forwarder
from .outcomes import SERVED, DeliveryProgress, Outcome, OutcomeKey
from .request_plan import RequestPlan
from .requests import InboundRequest
from .response_sink import ResponseSink

_ENDED_BY_ENDPOINT = (AttemptOutcome.LOST, AttemptOutcome.UNPROVEN)


class Party(enum.StrEnum):
    """Which side ended a request."""

    CALLER = "caller"
    ENTRY = "entry"
    ENDPOINT = "endpoint"


class RequestSummary:
    """What is known about a request that has ended.

    Args:
        ctx: State shared by all requests of the entry.
        req: The request.
        plan: What the configuration prescribes for it; ``None`` if it was refused without
            a route, a valid key or a request id.
        forwarder: Its upstream attempts; ``None`` if there were none.
        caller: Where its response went.
    """

    def __init__(
        self,
        ctx: Context,
        req: InboundRequest,
        plan: RequestPlan | None,
        forwarder: Forwarder | None,
        caller: ResponseSink,
    ) -> None:
        self._ctx = ctx
        self._req = req
        self._plan = plan
        self._forwarder = forwarder
        self._caller = caller
        self._progress = forwarder.progress if forwarder else DeliveryProgress()

    def emit(
        self,
        event: Event,
        outcome: Outcome,
        refusal: Refusal | None,
        *,
        detail: str,
        revision: int,
    ) -> None:
        """Count and log the outcome of the request.

        Args:
            event: The event to log.
            outcome: How the request ended.
            refusal: Why it has no complete response; ``None`` if it has one.
            detail: Why it ended, if there is no refusal.
            revision: Revision of the configuration under which it was handled.
        """
        reason = refusal.reason.value if refusal is not None else ""
        duration_s = self._ctx.now() - self._req.arrived_at
        if self._plan is not None:
            self._count_outcome(self._plan, outcome, reason, duration_s)
            self._observe_first_event(self._plan)
        log(
            event,
            rid=self._req.rid,
            revision=revision,
            outcome=outcome.value,
            reason=reason,
            detail=refusal.detail if refusal is not None else detail,
            ended_by=self._ended_by(outcome).value,
            sent_bytes=self._caller.sent_bytes,
            held_ms=round(duration_s * 1000),
            peers=self._ctx.entry_count - 1,
            **self._plan_fields(),
            **self._placement_fields(),
            **self._configuration_fields(),
        )

    def _ended_by(self, outcome: Outcome) -> Party:
        """Return which side ended the request."""
        if outcome in SERVED or outcome is Outcome.FAILED:
            return Party.ENDPOINT
        if outcome is Outcome.LEFT:
            return Party.CALLER
        attempts = self._forwarder.attempts if self._forwarder else []
        if attempts and attempts[-1].outcome in _ENDED_BY_ENDPOINT:
            return Party.ENDPOINT
        return Party.ENTRY

    def _count_outcome(
        self, plan: RequestPlan, outcome: Outcome, reason: str, duration_s: float
    ) -> None:
        key = OutcomeKey(
            route=plan.route.name,
            tier=plan.route.tier,
            outcome=outcome,
            reason=reason,
            is_retry=plan.first_attempt_at < self._req.arrived_at,
        )
        objective_s = plan.route.objective_s
        self._ctx.outcomes.record(key, duration_s / objective_s if objective_s else 0.0)

    def _observe_first_event(self, plan: RequestPlan) -> None:
        """Observe the time from the caller's first attempt to the first event."""
        if self._progress.first_at is not None:
            self._ctx.metrics.observe(
                "dockreach_direct_first_event_seconds",
                "Time from a caller's first try to the first event or a plain answer",
                self._progress.first_at - plan.first_attempt_at,
                {"route": plan.route.name, "tier": str(plan.route.tier)},
            )

    def _plan_fields(self) -> dict[str, Any]:
        """Return the log fields for what the configuration prescribes."""
        plan = self._plan
        if plan is None:
            return {"route": "none", "organisation": "", "fingerprint": ""}
        share = self._ctx.scheduler.organisation_share(plan.service, plan.organisation_name)
        return {
            **({} if share is None else {"share": round(share, 3)}),
            "route": plan.route.name,
            "tier": plan.route.tier,
            "organisation": plan.organisation_name,
            "fingerprint": plan.fingerprint.hex(),
            "objective_ms": round(plan.route.objective_s * 1000),
            "tried_ms": round((self._req.arrived_at - plan.first_attempt_at) * 1000),
        }

    def _configuration_fields(self) -> dict[str, Any]:
        """Return how recent the configuration is if it does not allow the request."""
        if self._plan is not None:
            return {}
        return self._ctx.configuration.log_fields(self._ctx.now())

    def _placement_fields(self) -> dict[str, Any]:
        """Return the log fields for the response and the last placement."""
        forwarder = self._forwarder
        placement = (forwarder and forwarder.placement) or NO_PLACEMENT
        first_s = (self._progress.first_at or self._req.arrived_at) - self._req.arrived_at
        return {
            "attempts": len(forwarder.attempts) if forwarder else 0,
            "evidence": forwarder.execution.summary() if forwarder else [],
            "events": self._progress.events,
            "runs": self._runs_field(),
            "first_ms": round(first_s * 1000),
            "gap_ms": round(self._progress.longest_gap_s * 1000),
            "silent_ms": self._silent_ms(),
            "end": forwarder.response_end if forwarder else "",
            "endpoint": placement.endpoint,
            "waited_ms": round(placement.waited_s * 1000),
            "sent_ms": self._sent_ms(),
            "own": placement.in_flight_here,
            "others": placement.in_flight_elsewhere,
            "slots": placement.slots,
            "granted_by": placement.granted_by,
            "load_percent": placement.load_percent,
            "version": placement.software_version,
            "list_revision": placement.list_revision,
            "list_age_ms": round(placement.list_age_s * 1000),
            "list_confirmed_by": placement.list_confirmed_by,
            **self._resumption_fields(),
        }

    def _runs_field(self) -> list[str]:
        """Return the first and the last event id of each attempt that sent events."""
        runs = self._forwarder.runs if self._forwarder else []
        return [str(run) for run in runs if run.event_count]

    def _sent_ms(self) -> int | None:
        """Return after how long the last attempt was sent; ``None`` if there was none."""
        sent_at = self._forwarder.sent_at if self._forwarder else -math.inf
        if sent_at == -math.inf:
            return None
        return round((sent_at - self._req.arrived_at) * 1000)

    def _silent_ms(self) -> int:
        """Return for how long the last endpoint had sent nothing, in milliseconds."""
        if self._forwarder is None or not math.isfinite(self._forwarder.last_data_at):
            return 0
        return round((self._ctx.now() - self._forwarder.last_data_at) * 1000)

    def _resumption_fields(self) -> dict[str, Any]:
        """Return the log fields of a request that continues a stream."""
        req = self._req
        source = self._forwarder.version_source if self._forwarder else None
        fields: dict[str, Any] = {}
        if source is not None:
            fields["version_known_from"] = source.value
        evidence = self._forwarder.version_evidence if self._forwarder else None
        if evidence is not None:
            fields["version_evidence_ms"] = round(evidence.age_s * 1000)
            fields["version_evidence_by"] = evidence.by
        if not req.last_event_id:
            return fields
        return {
            **fields,
            "stream_rid": req.stream_rid,
            "resumed_after": req.last_event_id,
        }
