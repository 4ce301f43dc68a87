"""What proves that a request was not run, over all its upstream attempts."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ..verdict import Reason, Refusal, Verdict
from .attempt import Attempt, AttemptOutcome


class Evidence(enum.StrEnum):
    """What is known about whether one upstream attempt was run."""

    NOT_SENT = "not_sent"
    """No part of the request was sent."""

    REFUSED = "refused"
    """The endpoint itself says that it has not run the request."""

    MISDIRECTED = "misdirected"
    """Another endpoint has the address, and has not run the request."""

    RAN = "ran"
    """The endpoint responded as one that has run the request."""

    UNKNOWN = "unknown"
    """The request was sent, and nothing says what became of it."""


PROOFS_OF_NOT_RUN = frozenset((Evidence.NOT_SENT, Evidence.REFUSED, Evidence.MISDIRECTED))
"""Evidence that the endpoint has not run the request and will not run it later."""

_EVIDENCE = {
    AttemptOutcome.DELIVERED: Evidence.RAN,
    AttemptOutcome.NOT_SENT: Evidence.NOT_SENT,
    AttemptOutcome.MISDIRECTED: Evidence.MISDIRECTED,
    AttemptOutcome.NOT_RUN: Evidence.REFUSED,
    AttemptOutcome.FAILED: Evidence.RAN,
    AttemptOutcome.UNPROVEN: Evidence.UNKNOWN,
    AttemptOutcome.LOST: Evidence.UNKNOWN,
    AttemptOutcome.SUPERSEDED: Evidence.UNKNOWN,
}

_OWN_REASONS = frozenset((Reason.DEADLINE, Reason.STOPPING, Reason.INTERNAL_ERROR))
"""Reasons for which the entry ends a request whether or not an endpoint may have run it."""


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """What is known about one upstream attempt.

    Attributes:
        status: Status of the endpoint's response; 0 if there was none.
        detail: How the attempt ended; empty while it goes on.
    """

    endpoint: str
    evidence: Evidence = Evidence.NOT_SENT
    status: int = 0
    detail: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether the endpoint may have run the request, or may still run it."""
        return self.evidence not in PROOFS_OF_NOT_RUN

    def mark_sent(self) -> None:
        """Record that a part of the request may leave from now on."""
        self.evidence = Evidence.UNKNOWN

    def settle(self, attempt: Attempt, status: int) -> None:
        """Record how the attempt ended.

        Args:
            attempt: How it ended.
            status: Status of the endpoint's response; 0 if there was none.
        """
        self.evidence = _EVIDENCE[attempt.outcome]
        self.status = status
        self.detail = attempt.detail

    def __str__(self) -> str:
        status = f" {self.status}" if self.status else ""
        return f"{self.endpoint}:{self.evidence.value}{status}"


class ExecutionRecord:
    """What is known about all upstream attempts of one request."""

    def __init__(self) -> None:
        self._attempts: list[AttemptRecord] = []

    def begin(self, endpoint: str) -> AttemptRecord:
        """Add an attempt, of which nothing was sent yet."""
        record = AttemptRecord(endpoint)
        self._attempts.append(record)
        return record

    @property
    def may_have_run(self) -> bool:
        """Whether any endpoint may have run the request, or may still run it."""
        return any(record.may_have_run for record in self._attempts)

    def refusal(self, proposed: Refusal) -> Refusal:
        """Return the refusal that the evidence allows.

        Args:
            proposed: The refusal as it would be if no endpoint had run the request.
        """
        unproven = [record for record in self._attempts if record.may_have_run]
        lost_detail = unproven[-1].detail if unproven else ""
        return refusal_of(proposed, may_have_run=bool(unproven), lost_detail=lost_detail)

    def summary(self) -> list[str]:
        """Return the endpoint, the evidence and the status of each attempt."""
        return [str(record) for record in self._attempts]


def refusal_of(proposed: Refusal, *, may_have_run: bool, lost_detail: str = "") -> Refusal:
    """Return the refusal of a request that was run or not.

    Args:
        proposed: The refusal as it would be if no endpoint had run the request.
        may_have_run: Whether one may have run it.
        lost_detail: How the attempt that may have run ended.
    """
    if not may_have_run:
        if proposed.reason is Reason.DEADLINE:
            return proposed._replace(verdict=Verdict.NOT_RUN, reason=Reason.SHED)
        return proposed._replace(verdict=Verdict.NOT_RUN)
    if proposed.reason in _OWN_REASONS:
        return Refusal(Verdict.MAY_HAVE_RUN, proposed.reason, proposed.detail)
    return Refusal(Verdict.MAY_HAVE_RUN, Reason.ENGINE_LOST, lost_detail)
