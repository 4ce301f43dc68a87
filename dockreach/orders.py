"""Load orders: an agent orders its endpoint to load the declared version and adapters.

Only the endpoint's own agent sends them. Each order carries a fence, an increasing triple
of revision, incarnation and number; an endpoint that checks fences refuses an order that
is older than the last one it accepted. Because not every endpoint does, the agent checks
right before the call that it still has the newest declarations it knows of.

Loads are spread in time, so that a rack that restarts does not request everything from
the weight store at once: the endpoints of a pool load one group after another, in an
order given by rendezvous hashing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from .declarations import Declarations, Endpoint
from .rendezvous import ranked


class Fence(NamedTuple):
    """Position of a load order: by revision, then agent incarnation, then number."""

    revision: int
    incarnation: int
    number: int


class LoadTarget(NamedTuple):
    """The version and adapters that an endpoint should have loaded."""

    version: str
    adapters: tuple[str, ...]


class LoadOrder(msgspec.Struct, frozen=True):
    """A load order as it is sent to an endpoint."""

    version: str
    adapters: tuple[str, ...]
    fence: tuple[int, int, int]


class EndpointState(msgspec.Struct, frozen=True):
    """The version and adapters that an endpoint reports as loaded."""

    version: str = ""
    adapters: tuple[str, ...] = ()


def load_target(declared: Endpoint) -> LoadTarget | None:
    """Return what an endpoint should load; ``None`` if nothing is declared."""
    adapters = tuple(part.strip() for part in declared.adapters.split(",") if part.strip())
    if not declared.version and not adapters:
        return None
    return LoadTarget(declared.version, adapters)


def load_delay_s(declarations: Declarations, endpoint: str) -> float:
    """Return the delay of an endpoint's load behind others of its pool, in seconds."""
    pool = declarations.endpoints[endpoint].pool
    loading = [
        name
        for name, item in declarations.endpoints.items()
        if item.pool == pool and load_target(item) is not None
    ]
    ranked_names = ranked(f"{declarations.revision}", loading)
    fleet = declarations.fleet
    return ranked_names.index(endpoint) // fleet.loads_at_once * fleet.load_s


@dataclass(slots=True)
class LoadOrderPlanner:
    """Decides when an agent sends which load order to its endpoint.

    Attributes:
        due_at: When the next order may be sent; ``None`` if none is needed.
        last_number: Number of the last order.
        issued_fences: Fences of all orders so far.
    """

    endpoint: str
    incarnation: int
    target: LoadTarget | None = None
    revision: int = 0
    due_at: float | None = None
    last_number: int = 0
    issued_fences: list[Fence] = field(default_factory=list)

    def apply_declarations(self, declarations: Declarations, now: float) -> None:
        """Apply newly accepted declarations."""
        declared = declarations.endpoints.get(self.endpoint)
        target = load_target(declared) if declared else None
        self.revision = declarations.revision
        if target == self.target:
            return
        self.target = target
        self.due_at = None
        if target is not None:
            self.due_at = now + load_delay_s(declarations, self.endpoint)

    def next_order(self, state: EndpointState, now: float) -> LoadOrder | None:
        """Return the order to send now; ``None`` if there is nothing to do."""
        if self.target is None or self.due_at is None or now < self.due_at:
            return None
        if (state.version, state.adapters) == self.target:
            self.due_at = None
            return None
        self.last_number += 1
        fence = Fence(self.revision, self.incarnation, self.last_number)
        self.issued_fences.append(fence)
        return LoadOrder(self.target.version, self.target.adapters, fence)
