"""Metrics and log line of a request that has ended."""

from __future__ import annotations

from typing import Any

from ..events import Event, log
from ..verdict import Refusal
from .attempt import NOWHERE
from .call import Call
from .context import Context
from .forward import Forward
from .outcomes import Ending, Outcome, Progress
from .requests import InboundRequest


class EndRecord:
    """What is known about a request that has ended.

    Args:
        ctx: State shared by all requests of the entry.
        req: The request.
        call: What the configuration prescribes for it; ``None`` without a route or key.
        forwarded: Its upstream attempts; ``None`` if there were none.
    """

    def __init__(
        self,
        ctx: Context,
        req: InboundRequest,
        call: Call | None,
        forwarded: Forward | None,
    ) -> None:
        self._ctx = ctx
        self._req = req
        self._call = call
        self._forwarded = forwarded
        self._progress = forwarded.progress if forwarded else Progress()

    def write(
        self, event: Event, outcome: Outcome, refusal: Refusal | None, *, revision: int
    ) -> None:
        """Count and log the outcome of the request."""
        reason = refusal.reason.value if refusal is not None else ""
        duration_s = self._ctx.now() - self._req.arrived
        if self._call is not None:
            self._count(self._call, outcome, reason, duration_s)
            self._observe_first(self._call)
        log(
            event,
            rid=self._req.rid,
            revision=revision,
            outcome=outcome.value,
            reason=reason,
            detail=refusal.detail if refusal is not None else "",
            held_ms=round(duration_s * 1000),
            peers=self._ctx.entries - 1,
            **self._call_fields(),
            **self._forward_fields(),
        )

    def _count(self, plan: Call, outcome: Outcome, reason: str, duration_s: float) -> None:
        key = Ending(
            route=plan.route.name,
            tier=plan.route.tier,
            outcome=outcome,
            reason=reason,
            returned=plan.tried_at < self._req.arrived,
        )
        objective_s = plan.route.objective_s
        self._ctx.tally.add(key, duration_s / objective_s if objective_s else 0.0)

    def _observe_first(self, plan: Call) -> None:
        """Observe the time from the caller's first attempt to the first event."""
        if self._progress.first_at is not None:
            self._ctx.metrics.observe(
                "dockreach_direct_first_event_seconds",
                "Time from a caller's first try to the first event or a plain answer",
                self._progress.first_at - plan.tried_at,
                {"route": plan.route.name, "tier": str(plan.route.tier)},
            )

    def _call_fields(self) -> dict[str, Any]:
        """Return the log fields for what the configuration prescribes."""
        plan = self._call
        if plan is None:
            return {"route": "none", "organisation": "", "fingerprint": ""}
        return {
            "route": plan.route.name,
            "tier": plan.route.tier,
            "organisation": plan.organisation_name,
            "fingerprint": plan.fingerprint.hex(),
            "objective_ms": round(plan.route.objective_s * 1000),
            "tried_ms": round((self._req.arrived - plan.tried_at) * 1000),
        }

    def _forward_fields(self) -> dict[str, Any]:
        """Return the log fields for the response and the last placement."""
        forwarder = self._forwarded
        placement = (forwarder and forwarder.placement) or NOWHERE
        first_s = (self._progress.first_at or self._req.arrived) - self._req.arrived
        return {
            "attempts": len(forwarder.attempts) if forwarder else 0,
            "events": self._progress.events,
            "first_ms": round(first_s * 1000),
            "gap_ms": round(self._progress.longest_gap_s * 1000),
            "endpoint": placement.endpoint,
            "waited_ms": round(placement.waited_s * 1000),
            "own": placement.own,
            "others": placement.others,
            "slots": placement.slots,
            "granted_by": placement.granted_by,
        }
