"""What an adapter gives an entry: settings, and what the platform publishes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .digest import Address
from .endpoints import Published
from .fleet import Revision
from .retrying import RetryPolicy
from .spending import Tolerance


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """What an entry must be told.

    Attributes:
        name: Its name in logs and metrics.
        hall: The data hall it stands in.
        callers: Where callers connect.
        health: Where the balancer asks whether it is ready.
        gossip: Where it listens to other entries, over UDP and TCP.
        metrics: Where its metrics are read.
        seeds: Other entries to ask first.
        has_past: Whether the system ran before this process was started.
        grace_s: Time between the signal to stop and the end by force, in seconds.
        health_path: The path that the balancer asks for.
        metrics_path: The path of the metrics page.
    """

    name: str
    hall: str
    callers: Address
    health: Address
    gossip: Address
    metrics: Address | None
    seeds: tuple[Address, ...]
    has_past: bool
    grace_s: float
    health_path: str
    metrics_path: str
    tolerance: Tolerance
    retries: RetryPolicy


class FleetSink(Protocol):
    """Takes in what the platform publishes."""

    def take_revision(self, revision: Revision, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""

    def take_endpoint(self, published: Published) -> None:
        """Add an endpoint, or replace what is known of it."""

    def lose_endpoint(self, endpoint: str) -> None:
        """Take an endpoint off: the platform says that it has left."""

    def take_all(self, published: list[Published], fleet_revision: int) -> None:
        """Replace the list of endpoints."""

    def reached(self, fleet_revision: int) -> None:
        """Note up to which revision of the platform endpoints were read."""
