"""Settings that an adapter passes to an entry at its start."""

from __future__ import annotations

import resource
from collections.abc import Mapping
from dataclasses import dataclass, field

from .digest import Address
from .retry_budget import RetryPolicy
from .token_quota import QuotaTolerance
from .warm_up import ColdTolerance

DEFAULT_MEMORY_MB = 512.0
"""Memory of a process whose settings do not tell it, in MB: half of a small VM."""

MAX_DESCRIPTORS = 1 << 20
"""Most descriptors that are counted on where the system sets no limit."""


def own_descriptor_limit() -> int:
    """Return how many descriptors the system lets this process open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry.

    Attributes:
        name: Its name in logs and metrics.
        hall: The data hall that it runs in.
        callers_address: Address that callers connect to.
        health_address: Address at which the load balancer checks whether it is ready.
        gossip_address: Address at which it listens to other entries, over UDP and TCP.
        metrics_address: Address of its metrics page; ``None`` for no such page.
        seeds: Other entries to contact first.
        has_predecessor: Whether the system ran before this process was started.
        grace_s: Time from the signal to stop until the process is killed, in seconds.
        metrics_path: The path of the metrics page.
        quota_tolerance: By how much an organisation's quota may be exceeded.
        retry_policy: The budget for retries.
        apply_deadline_s: Time in which published changes must be applied, in seconds.
        capacity: Fraction of a processor core that the entry may use.
        is_coordinated: Whether one entry, the coordinator, grants the slots of a service.
        cold_tolerance: By how much the rate limit of a cold endpoint may be exceeded.
        region_of_hall: The region of each data hall.
        heartbeat_s: Interval at which endpoints renew their records, in seconds.
        memory_mb: Memory that the process may use, in MB.
        max_descriptors: Descriptors that it may have open.
    """

    name: str
    hall: str
    callers_address: Address
    health_address: Address
    gossip_address: Address
    metrics_address: Address | None
    seeds: tuple[Address, ...]
    has_predecessor: bool
    grace_s: float
    metrics_path: str
    quota_tolerance: QuotaTolerance
    retry_policy: RetryPolicy
    apply_deadline_s: float = 2.0
    capacity: float = 1.0
    is_coordinated: bool = True
    cold_tolerance: ColdTolerance = ColdTolerance()
    region_of_hall: Mapping[str, str] = field(default_factory=dict)
    heartbeat_s: float = 1.2
    memory_mb: float = DEFAULT_MEMORY_MB
    max_descriptors: int = field(default_factory=own_descriptor_limit)
