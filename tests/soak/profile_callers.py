"""Callers of a small deployment: HTTP/1.1 alone, and a retry or a few after a failure."""

from __future__ import annotations

from dataclasses import dataclass, field

from .clients import Outcome
from .profiles import Profile
from .rejoined_callers import RejoinedCallers
from .stream_shapes import shape_of
from .worker_content import request_body

GRACE_S = 2.5
"""How long a caller waits beyond the deadline that it names, in seconds."""


@dataclass(slots=True)
class ProfileCallers(RejoinedCallers):
    """Callers whose requests follow the profile of a deployment."""

    http10_fraction: float = 0.0
    profile: Profile | None = field(default=None)

    def _draw_request(self) -> Outcome:
        outcome = RejoinedCallers._draw_request(self)
        shape = shape_of(outcome.rid)
        if self.profile is not None:
            size = self.rng.choice(self.profile.body_bytes)
            outcome.request_body = request_body(outcome.rid, size)
        if shape is not None and outcome.timeout_s >= outcome.deadline_s:
            outcome.deadline_s = shape.timeout_s
            outcome.timeout_s = shape.timeout_s + GRACE_S
        return outcome

    def _draw_take_ups(self) -> int:
        if self.profile is None:
            return RejoinedCallers._draw_take_ups(self)
        return self.rng.choice(self.profile.retries)
