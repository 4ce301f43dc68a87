"""A system whose entries are all killed while software versions follow on each other."""

from __future__ import annotations

import signal
import time
from pathlib import Path
from typing import ClassVar

import eventlet

from tests.platform.store_standin import endpoint_record

from .cluster import RESUMABLE_SERVICE, SOFTWARE_VERSIONS
from .process_callers import ProcessCallers
from .process_cluster import ProcessCluster
from .process_workers import WorkerProcess
from .rejoined_callers import RejoinedCallers
from .rejoined_invariants import rejoined_notes, rejoined_violations
from .theme import Theme
from .workers import SLOTS

HEARTBEAT_S = 0.4
"""Interval at which an endpoint writes its record, in seconds."""

SAME_PORT_CHANCE = 0.7
"""Chance that the successor of an endpoint that ended takes its port at once."""

LAST_DRAINING_S = 1.0
"""How long endpoints are listed as draining after the last fault, in seconds."""

AFTERMATH_S = 1.5
"""How long after a power cut responses may still be cut, in seconds."""

UNUSED_SERVICE = "work-odd"
"""Service of odd records, which no route uses."""


class RejoinedCluster(ProcessCluster):
    """All parts of the system under test, with software versions and long streams.

    Attributes:
        has_releases: Whether endpoints of other software versions follow; otherwise all
            are of one version.
        has_odd_records: Whether odd records are written beside those of endpoints.
    """

    callers_type: ClassVar[type[ProcessCallers]] = RejoinedCallers
    callers: RejoinedCallers

    def __init__(self, seed: int, net: int, folder: Path, entries: int) -> None:
        super().__init__(seed, net, folder, entries, Theme.REJOINED)
        self.has_releases = bool(seed % 2)
        self.has_odd_records = seed % 4 >= 2
        self.same_port_chance = SAME_PORT_CHANCE
        self.software_version = SOFTWARE_VERSIONS[0]
        self._sequences: dict[str, int] = {}
        self._odd_records = 0

    def _entry_addresses(self) -> list[tuple[str, str]]:
        """Return the entries to which the platform passes connections."""
        running = {entry.name for entry in self.entries if entry.is_running}
        pairs = super()._entry_addresses()
        return [pair for pair in pairs if pair[0] in running] or pairs

    def start(self) -> None:
        """Start everything except the callers."""
        super().start()
        eventlet.spawn(self._write_heartbeats)

    def resumable_workers(self) -> list[str]:
        """Return the names of the endpoints that serve resumable streams."""
        return sorted(
            name
            for name, worker in self.processes.items()
            if worker.service == RESUMABLE_SERVICE
        )

    def _publish_process(self, worker: WorkerProcess, state: str) -> None:
        name = worker.name
        versions = self.observations.worker_versions
        self._sequences[name] = self._sequences.get(name, 0) + 1
        record = endpoint_record(
            service=worker.service,
            address=worker.address,
            zone="hall1",
            slots=SLOTS,
            state=state,
            sequence=self._sequences[name],
            version=versions.setdefault(name, self.software_version),
        )
        self.store.put(f"servers/{name}", record)

    def _write_heartbeats(self) -> None:
        while not self.callers.is_stopped:
            eventlet.sleep(HEARTBEAT_S)
            for worker in list(self.processes.values()):
                if worker.is_running:
                    self._publish_process(worker, "ready")

    def draw_software_version(self) -> None:
        """Draw the version of the endpoints that start from now on."""
        if self.has_releases:
            others = [v for v in SOFTWARE_VERSIONS if v != self.software_version]
            self.software_version = self.rng.choice(others)

    def cut_power(self, down_s: float) -> None:
        """Kill all entries at once.

        Args:
            down_s: How long none of them is started again, in seconds.
        """
        now = time.monotonic()
        self.record_disruption("", down_s + AFTERMATH_S)
        self.observations.power_cuts.append(now)
        for entry in self.entries:
            entry.down_until = now + down_s
            entry.send_signal(signal.SIGKILL)

    def write_odd_record(self, value: bytes, for_s: float | None) -> None:
        """Write the record of another endpoint, which serves no route.

        Args:
            value: What is written.
            for_s: After how long it is deleted, in seconds; ``None`` to let it stay.
        """
        self._odd_records += 1
        key = f"servers/odd-{self._odd_records}"
        self.store.put(key, value)
        if for_s is not None:
            eventlet.sleep(for_s)
            self.store.delete(key)

    def clear_faults(self) -> None:
        """Cut the power a last time, end all faults, and replace every endpoint.

        An entry that no longer follows the list of endpoints serves nobody after that.
        """
        self.cut_power(0.0)
        super().clear_faults()
        for name in sorted(self.processes):
            self.draw_software_version()
            eventlet.spawn(self.drain_process, name, draining_s=LAST_DRAINING_S)
            eventlet.sleep(0.1)

    def stop(self) -> None:
        """Stop everything that was started; what that cuts off tells nothing."""
        self.observations.outcomes = list(self.callers.outcomes)
        super().stop()

    def notes(self) -> list[str]:
        """Return how streams broke, and how they were taken up after power cuts."""
        return rejoined_notes(
            self.observations, has_whole_history=self.store.has_whole_history
        )

    def violations(self) -> list[str]:
        """Return a line for each violated invariant."""
        return super().violations() + rejoined_violations(self.observations, self.facts())
