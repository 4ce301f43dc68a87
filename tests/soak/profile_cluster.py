"""A system of the size and the traffic of a small deployment."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any, ClassVar

from .cluster import RESUMABLE_SERVICE, WORKERS_PER_SERVICE
from .order_table import order_table
from .process_callers import ProcessCallers
from .profile_callers import ProfileCallers
from .profiles import Profile
from .rejoined_cluster import RejoinedCluster
from .stream_shapes import SHAPES

SPARE_PROCESSES = 3
"""Endpoints that may run beside those of the profile, draining ones among them."""


class ProfileCluster(RejoinedCluster):
    """All parts of the system under test, with the traffic of a profile."""

    callers_type: ClassVar[type[ProcessCallers]] = ProfileCallers
    callers: ProfileCallers

    def __init__(self, seed: int, net: int, folder: Path, profile: Profile) -> None:
        super().__init__(seed, net, folder, profile.entries)
        self._profile = profile
        self.max_processes = profile.endpoints + WORKERS_PER_SERVICE + SPARE_PROCESSES
        self.caller_count = profile.callers
        self.callers.profile = profile
        self.callers.kinds = profile.kinds
        self.callers.max_pause_s = profile.max_pause_s

    def start(self) -> None:
        """Start everything except the callers."""
        for _ in range(self._profile.endpoints - WORKERS_PER_SERVICE):
            self.add_worker(RESUMABLE_SERVICE)
        super().start()

    def _more_routes(self) -> list[dict[str, Any]]:
        return [*super()._more_routes(), *_routes()]

    def notes(self) -> list[str]:
        """Return how streams broke, and each way with the last fault before it."""
        return [*super().notes(), *order_table(self.observations, self.facts())]


def _routes() -> Iterator[dict[str, Any]]:
    for kind, shape in SHAPES.items():
        route = {
            "name": kind,
            "host": "tools.example",
            "path_prefix": f"/{kind}/",
            "type": "streaming",
            "timeout_ms": shape.timeout_s * 1000,
            "target_latency_ms": 800,
            "gap_aim_ms": 300,
            "service": RESUMABLE_SERVICE,
        }
        if shape.is_resumable:
            route |= {"resumable": True, "max_attempts": 2}
        yield route
