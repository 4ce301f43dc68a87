"""What is measured of an engine: how fast it reads prompts and makes events."""

from __future__ import annotations

from dataclasses import dataclass

LATENCY_PRIOR_S = 0.06
"""Assumed time to a first event besides the reading, before any is measured, in seconds."""

READ_PRIOR_S = 3e-5
"""Assumed time to read one prompt token before any is measured, in seconds."""

GAP_PRIOR_S = 0.015
"""Assumed time between events of a stream before any is measured, in seconds."""

READ_SCALE_TOKENS = 2000.0
"""Prompt tokens that weigh as much as the constant part when a measured time is split
between the two: about the mean of the users' prompts."""

LEARN = 0.25
"""Weight of a new measurement in a running mean."""

LEAST_LATENCY_S = 0.002
LEAST_READ_S = 1e-7
"""Bounds below which noise may not press what is learned, in seconds."""


@dataclass(slots=True)
class EngineSpeed:
    """A line through measured times to a first event, and a mean time between events.

    Attributes:
        latency_s: Time to a first event besides the reading, in seconds.
        read_s: Time to read one prompt token, in seconds.
        gap_s: Time between events of a stream, in seconds.
    """

    latency_s: float = LATENCY_PRIOR_S
    read_s: float = READ_PRIOR_S
    gap_s: float = GAP_PRIOR_S

    def first_s(self, tokens: float) -> float:
        """Return the expected time to a first event, in seconds.

        Args:
            tokens: Prompt tokens that the engine reads before it, those of other requests
                included.
        """
        return self.latency_s + self.read_s * tokens

    def stream_s(self, tokens: float, events: float) -> float:
        """Return the expected time to the end of a stream, in seconds."""
        return self.first_s(tokens) + events * self.gap_s

    def pause_s(self, tokens: float) -> float:
        """Return the pause that streams see while so many tokens are read, in seconds."""
        return self.gap_s + self.read_s * tokens

    def learn_first(self, tokens: float, seconds: float) -> None:
        """Take in a measured time to a first event.

        The error is split between both parts as normalised least mean squares does.
        """
        scaled = tokens / READ_SCALE_TOKENS
        step = LEARN * (seconds - self.first_s(tokens)) / (1 + scaled * scaled)
        self.latency_s = max(self.latency_s + step, LEAST_LATENCY_S)
        self.read_s = max(self.read_s + step * scaled / READ_SCALE_TOKENS, LEAST_READ_S)

    def learn_gap(self, seconds: float) -> None:
        """Take in a mean time between events of a stream."""
        self.gap_s += LEARN * (seconds - self.gap_s)
