"""Estimates how fast an engine prefills prompts and generates events."""

from __future__ import annotations

from dataclasses import dataclass

LATENCY_PRIOR_S = 0.06
"""Assumed time to a first event without the prefill, before any measurement, in seconds."""

PREFILL_PER_TOKEN_PRIOR_S = 3e-5
"""Assumed time to prefill one prompt token, before any measurement, in seconds."""

GAP_PRIOR_S = 0.015
"""Assumed time between events of a stream, before any measurement, in seconds."""

PREFILL_SCALE_TOKENS = 2000.0
"""Number of prompt tokens at which an error of the estimate is split equally between the
prefill and the constant latency: about the mean of the users' prompts."""

EWMA_WEIGHT = 0.25
"""Weight of a new measurement in an exponentially weighted mean."""

MIN_LATENCY_S = 0.002
MIN_PREFILL_PER_TOKEN_S = 1e-7
"""Lower bounds of the estimates, in seconds, which noisy measurements might undercut."""


@dataclass(slots=True)
class EngineSpeed:
    """A linear model of the time to a first event, and a mean time between events.

    Attributes:
        latency_s: Time to a first event without the prefill, in seconds.
        prefill_per_token_s: Time to prefill one prompt token, in seconds.
        gap_s: Time between events of a stream, in seconds.
    """

    latency_s: float = LATENCY_PRIOR_S
    prefill_per_token_s: float = PREFILL_PER_TOKEN_PRIOR_S
    gap_s: float = GAP_PRIOR_S

    def first_event_s(self, tokens: float) -> float:
        """Return the expected time to a first event, in seconds.

        Args:
            tokens: Prompt tokens that the engine prefills before it, including those of
                other requests.
        """
        return self.latency_s + self.prefill_per_token_s * tokens

    def stream_s(self, tokens: float, events: float) -> float:
        """Return the expected time to the end of a stream, in seconds."""
        return self.first_event_s(tokens) + events * self.gap_s

    def stall_s(self, tokens: float) -> float:
        """Return the gap between a stream's events during a prefill, in seconds."""
        return self.gap_s + self.prefill_per_token_s * tokens

    def update_first_event(
        self, tokens: float, seconds: float, weight: float = 1.0
    ) -> None:
        """Update the model with a measured time to a first event.

        Normalised least mean squares split the error between latency and prefill.

        Args:
            tokens: Prompt tokens that the engine prefilled before it.
            seconds: The time, in seconds.
            weight: Weight of the measurement, relative to others.
        """
        scaled = tokens / PREFILL_SCALE_TOKENS
        error_s = seconds - self.first_event_s(tokens)
        step = EWMA_WEIGHT * weight * error_s / (1 + scaled * scaled)
        self.latency_s = max(self.latency_s + step, MIN_LATENCY_S)
        self.prefill_per_token_s = max(
            self.prefill_per_token_s + step * scaled / PREFILL_SCALE_TOKENS,
            MIN_PREFILL_PER_TOKEN_S,
        )

    def update_gap(self, seconds: float, weight: float = 1.0) -> None:
        """Update the mean time between events with a measured one, weighted."""
        self.gap_s += EWMA_WEIGHT * weight * (seconds - self.gap_s)
