"""What is counted and logged when a request has ended."""

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
    """What is known of a request when it has ended.

    Args:
        ctx: What the entry knows.
        req: The request.
        call: What the configuration says of it; ``None`` if it has no route or key.
        forwarded: Its attempts; ``None`` if there were none.
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
        """Count and log how the request ended."""
        reason = refusal.reason.value if refusal is not None else ""
        held_s = self._ctx.now() - self._req.arrived
        if self._call is not None:
            self._count(self._call, outcome, reason, held_s)
            self._observe_first(self._call)
        log(
            event,
            rid=self._req.rid,
            revision=revision,
            outcome=outcome.value,
            reason=reason,
            detail=refusal.detail if refusal is not None else "",
            held_ms=round(held_s * 1000),
            peers=self._ctx.entries - 1,
            **self._call_fields(),
            **self._forward_fields(),
        )

    def _count(self, call: Call, outcome: Outcome, reason: str, held_s: float) -> None:
        ending = Ending(
            route=call.route.name,
            tier=call.route.tier,
            outcome=outcome,
            reason=reason,
            returned=call.tried_at < self._req.arrived,
        )
        objective_s = call.route.objective_s
        self._ctx.tally.add(ending, held_s / objective_s if objective_s else 0.0)

    def _observe_first(self, call: Call) -> None:
        """Count the time from the caller's first try to what it got first."""
        if self._progress.first_at is not None:
            self._ctx.metrics.observe(
                "dockreach_direct_first_event_seconds",
                "Time from a caller's first try to the first event or a plain answer",
                self._progress.first_at - call.tried_at,
                {"route": call.route.name, "tier": str(call.route.tier)},
            )

    def _call_fields(self) -> dict[str, Any]:
        """Return what the configuration says of the request, for its log line."""
        call = self._call
        if call is None:
            return {"route": "none", "organisation": "", "fingerprint": ""}
        return {
            "route": call.route.name,
            "tier": call.route.tier,
            "organisation": call.organisation_name,
            "fingerprint": call.fingerprint.hex(),
            "objective_ms": round(call.route.objective_s * 1000),
            "tried_ms": round((self._req.arrived - call.tried_at) * 1000),
        }

    def _forward_fields(self) -> dict[str, Any]:
        """Return what was known when the request was placed, for its log line."""
        forwarded = self._forwarded
        placement = (forwarded and forwarded.placement) or NOWHERE
        first_s = (self._progress.first_at or self._req.arrived) - self._req.arrived
        return {
            "attempts": len(forwarded.attempts) if forwarded else 0,
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
