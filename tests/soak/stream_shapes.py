"""The shapes of the streams of small deployments, by kind of route.

It needs the standard library alone, as the processes of endpoints do.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from statistics import NormalDist


@dataclass(frozen=True, slots=True)
class StreamShape:
    """How long the streams of a kind of route are, and how fast.

    Attributes:
        mean_events: Events of a stream in the mean, before the longest are cut.
        spread: Standard deviation of the logarithm of their number.
        most_events: Events of the longest stream.
        gap_s: Shortest and longest time between events, in seconds; one is drawn for each
            stream.
        timeout_s: Timeout of the route, in seconds.
        is_resumable: Whether another run may go on with a stream.
    """

    mean_events: float
    spread: float
    most_events: int
    gap_s: tuple[float, float]
    timeout_s: float
    is_resumable: bool = False

    def length(self, stream: str) -> int:
        """Return the number of events of a stream."""
        drawn = (zlib.crc32(stream.encode()) + 0.5) / (1 << 32)
        middle = math.log(self.mean_events) - self.spread**2 / 2
        events = math.exp(NormalDist(middle, self.spread).inv_cdf(drawn))
        return min(max(round(events), 1), self.most_events)


EVENT_GAP_S = (0.008, 0.031)

SHAPES = {
    "outline": StreamShape(17.4, 1.5, 170, EVENT_GAP_S, 7.0),
    "summary": StreamShape(7.5, 1.5, 75, EVENT_GAP_S, 4.0, is_resumable=True),
    "chat": StreamShape(89.0, 1.5, 890, EVENT_GAP_S, 15.0),
}
"""Shapes of the kinds of routes that only small deployments have."""


def shape_of(stream: str) -> StreamShape | None:
    """Return the shape of a stream's kind, if it has one."""
    return SHAPES.get(stream.partition("-")[0])
