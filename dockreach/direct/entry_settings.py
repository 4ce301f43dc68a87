"""What an adapter tells an entry at its start."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .cold import ColdTolerance
from .digest import Address
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
        metrics_path: The path of the metrics page.
        in_force_s: Time in which what the platform publishes must be in force, in seconds.
        capacity: Part of a processor core that the entry may use.
        is_coordinated: Whether one entry gives out the places of a service.
        cold: By how much the rate of a cold endpoint may be exceeded.
        regions: The region of each data hall.
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
    metrics_path: str
    tolerance: Tolerance
    retries: RetryPolicy
    in_force_s: float = 2.0
    capacity: float = 1.0
    is_coordinated: bool = True
    cold: ColdTolerance = ColdTolerance()
    regions: Mapping[str, str] = field(default_factory=dict)
