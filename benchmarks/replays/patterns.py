"""Load patterns as data: the requests of callers, and changes of the engines."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from dockreach.direct.routing_config import RetryMode, Route, Split

SERVICE = "work"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.

    Attributes:
        requests_per_engine_s: Requests per second for each engine of the fleet.
        prompt_tokens: Mean of an exponential distribution.
        events: Mean of an exponential distribution.
        organisation: Name of the organisation that sends it; empty for none.
    """

    name: str
    tier: int
    requests_per_engine_s: float
    prompt_tokens: float
    events: float
    objective_s: float
    gap_objective_s: float
    deadline_s: float
    organisation: str = ""

    def route(self) -> Route:
        """Return the route of its requests."""
        return Route(
            name=self.name,
            host="tools.example",
            prefix=f"/{self.name}/",
            retry_mode=RetryMode.NEVER,
            is_stream=True,
            timeout_s=self.deadline_s,
            objective_s=self.objective_s,
            gap_objective_s=self.gap_objective_s,
            tier=self.tier,
            max_attempts=1,
            is_public=False,
            splits=(Split(SERVICE, 1.0),),
        )


DRAFT = RequestKind("draft", 0, 1.54, 2950, 17, 1.0, 0.3, 6.0)
BRIEF = RequestKind("brief", 1, 1.17, 1860, 8, 0.8, 0.3, 4.0)
CHAT = RequestKind("chat", 2, 1.55, 603, 92, 0.5, 0.3, 15.0)
KINDS = (DRAFT, BRIEF, CHAT)


@dataclass(frozen=True, slots=True)
class Burst:
    """A period with more requests than usual.

    Attributes:
        factor: Factor on the usual rate.
        kind: Name of the kind of requests; empty for all kinds.
    """

    start_s: float
    end_s: float
    factor: float
    kind: str = ""


@dataclass(frozen=True, slots=True)
class EngineChange:
    """Engines that start with empty caches, or stop, all at once.

    Attributes:
        fraction: Fraction of the initial engines; negative if they stop.
    """

    at_s: float
    fraction: float


@dataclass(frozen=True, slots=True)
class LoadPattern:
    """The load and the changes of engines in one replay.

    Attributes:
        wave_amplitude: Amplitude of a sine wave in the load, as a fraction of its mean.
        mean_batch: Mean number of requests that arrive together.
        time_factors: Time factors of the engines, assigned in rotation.
    """

    name: str
    length_s: float = 20.0
    load: float = 1.0
    wave_amplitude: float = 0.15
    wave_period_s: float = 11.0
    mean_batch: float = 3.0
    time_factors: tuple[float, ...] = (0.6, 1.7, 1.7)
    bursts: tuple[Burst, ...] = field(default=())
    changes: tuple[EngineChange, ...] = field(default=())

    def load_factor(self, kind: RequestKind, now: float) -> float:
        """Return the factor on a kind's usual rate at a given time."""
        factor = self.load * (
            1 + self.wave_amplitude * math.sin(2 * math.pi * now / self.wave_period_s)
        )
        for burst in self.bursts:
            if burst.start_s <= now < burst.end_s and burst.kind in ("", kind.name):
                factor *= burst.factor
        return factor

    def arrivals(
        self, kind: RequestKind, engines: int, rng: random.Random
    ) -> Iterator[tuple[float, int]]:
        """Yield the arrival times of a kind's requests, and how many arrive together."""
        now = 0.0
        while True:
            rate = (
                kind.requests_per_engine_s
                * engines
                * self.load_factor(kind, now)
                / self.mean_batch
            )
            now += rng.expovariate(rate)
            if now >= self.length_s:
                return
            yield now, min(int(rng.expovariate(1 / self.mean_batch)) + 1, 12)


PATTERNS = (
    LoadPattern("quiet"),
    LoadPattern("burst of all kinds", bursts=(Burst(6, 10, 1.8),)),
    LoadPattern("burst of drafts", bursts=(Burst(6, 12, 2.2, "draft"),)),
    LoadPattern("burst of chats", bursts=(Burst(4, 14, 2.5, "chat"),)),
    LoadPattern("a quarter of the engines stops", changes=(EngineChange(8, -0.25),)),
    LoadPattern("a third more engines, empty", load=1.25, changes=(EngineChange(8, 0.33),)),
)
