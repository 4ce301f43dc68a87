"""A system whose entries fall out of step while endpoints of other versions join."""

from __future__ import annotations

import contextlib
import signal
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any, ClassVar

import eventlet

from .cluster import DRAINING_S
from .entries import EntryProcess
from .invariants import Span
from .out_of_step_callers import OutOfStepCallers
from .out_of_step_invariants import (
    Listing,
    out_of_step_notes,
    out_of_step_violations,
    without_lost,
)
from .out_of_step_network import Cut, PeerNetwork, StorePath
from .process_callers import ProcessCallers
from .process_cluster import ProcessCluster
from .process_invariants import process_violations
from .process_workers import WorkerProcess
from .rejoined_cluster import RejoinedCluster
from .rejoined_invariants import rejoined_violations
from .theme import Theme

WRAPPER = Path(__file__).with_name("relayed_entry.py")

ENTRIES = 5
"""Entries by default, of which up to two are out of step at a time."""

SERVICES = 12
"""Services of resumable streams; endpoints of other versions of all but one follow. A
version counts for a minute, so that an entry can be misled once by each."""

MANY_SERVICES = 15
CROWD_PERIOD = 8
"""One in so many seeds runs many endpoints."""

ENDPOINTS_PER_SERVICE = 2
MAX_PROCESSES = 60
MANY_ENDPOINTS_PER_SERVICE = 4
MANY_PROCESSES = 90
"""Endpoints that run at a time, draining ones among them."""

SERVES_ON_S = (0.0, 2.0, 5.0)
"""How long an endpoint serves on after its record was deleted, in seconds."""

AFTERMATH_S = 1.0
"""How long after a fault an entry may be out of step, in seconds."""


MAX_WAIT_S = 2.0
"""How long a fault waits for entries that are out of step, in seconds."""

OVERLAP_CHANCE = 0.1
"""Chance, at each look, that a fault does not wait."""

POLL_S = 0.05


class RelayedEntry(EntryProcess):
    """An entry whose datagrams arrive through a relay."""

    def _command(self) -> list[str]:
        python, program = super()._command()
        return [python, str(WRAPPER), _own_ip(self), program]


class OutOfStepCluster(RejoinedCluster):
    """All parts of the system under test, with paths that can be cut.

    Attributes:
        versions: The newest software version of each service.
        listings: All endpoints that were listed as ready.
        out_of_step: When entries were cut off from others or stood still.
        faults_ended_at: Monotonic time of the end of the last fault, in seconds.
    """

    callers_type: ClassVar[type[ProcessCallers]] = OutOfStepCallers
    entry_type: ClassVar[type[EntryProcess]] = RelayedEntry
    store_path_type: ClassVar[type[StorePath]] = StorePath
    oddities: ClassVar[tuple[float, ...]] = (0.0, 0.0, 0.1)
    callers: OutOfStepCallers

    def __init__(self, seed: int, net: int, folder: Path, entries: int) -> None:
        is_crowded = seed % CROWD_PERIOD == 0
        self.versions = {
            f"tale-{number}": 1
            for number in range(MANY_SERVICES if is_crowded else SERVICES)
        }
        super().__init__(seed, net, folder, entries)
        self.theme = Theme.OUT_OF_STEP
        self.endpoints_per_service = ENDPOINTS_PER_SERVICE
        self.max_processes = MAX_PROCESSES
        if is_crowded:
            self.endpoints_per_service = MANY_ENDPOINTS_PER_SERVICE
            self.max_processes = MANY_PROCESSES
        self.callers.paths = [_path(service) for service in self.versions]
        self.listings: list[Listing] = []
        self.out_of_step: list[Span] = []
        self.faults_ended_at = 0.0
        self._chosen: Counter[str] = Counter()
        self._network = PeerNetwork(
            self.entries, [_own_ip(entry) for entry in self.entries]
        )

    def start(self) -> None:
        """Start everything except the callers."""
        starting = [
            eventlet.spawn(self.add_worker, service)
            for service in self.versions
            for _ in range(self.endpoints_per_service)
        ]
        for greenlet in starting:
            greenlet.wait()
        super().start()

    def stop(self) -> None:
        """Stop everything that was started."""
        super().stop()
        self._network.close()

    def _extend(self, content: dict[str, Any]) -> None:
        common = {key: value for key, value in content["services"][0].items()}
        content["services"] += [{**common, "name": service} for service in self.versions]
        (story,) = [route for route in content["routes"] if route["name"] == "story"]
        content["routes"] += [
            {**story, "name": service, "path_prefix": _path(service), "service": service}
            for service in self.versions
        ]

    def _list_process(self, worker: WorkerProcess) -> None:
        version = self.observations.worker_versions.setdefault(
            worker.name, self._current_version(worker.service)
        )
        since = time.monotonic()
        self.listings.append(Listing(worker.name, worker.service, version, since))
        super()._list_process(worker)

    def _end_listing(self, worker: str) -> None:
        """Record that an endpoint ended or begins to drain."""
        for listing in self.listings:
            if listing.worker == worker:
                listing.until = min(listing.until, time.monotonic())

    def _succeed(self, ended: WorkerProcess) -> None:
        self._end_listing(ended.name)
        super()._succeed(ended)

    def _current_version(self, service: str) -> str:
        return f"v{self.versions.get(service, 1)}"

    # Actions of the operator and of endpoints.

    def draw_service(self) -> str:
        """Draw a service of which endpoints of another version join next.

        Services that have had the fewest versions come first; one has a single version all
        along.
        """
        released = list(self.versions)[1:]
        fewest = min(self.versions[name] for name in released)
        return self.rng.choice([name for name in released if self.versions[name] == fewest])

    def raise_version(self, service: str) -> None:
        """Let the endpoints of a service that start from now on be of another version."""
        self.versions[service] += 1

    def start_newcomers(self, service: str, count: int) -> list[WorkerProcess]:
        """Start endpoints of a service that are not listed yet."""
        starting = [eventlet.spawn(self._start_process, service) for _ in range(count)]
        started = [greenlet.wait() for greenlet in starting]
        workers = [worker for worker in started if worker is not None]
        for worker in workers:
            version = self._current_version(service)
            self.observations.worker_versions[worker.name] = version
        return workers

    def list_newcomers(self, workers: list[WorkerProcess]) -> None:
        """List endpoints that were started before."""
        for worker in workers:
            self._list_process(worker)

    def drain_older(self, service: str, kept: int) -> None:
        """Let endpoints of earlier versions of a service drain.

        Args:
            service: The service.
            kept: How many of them stay.
        """
        newest = self._current_version(service)
        versions = self.observations.worker_versions
        older = [
            name
            for name, worker in sorted(self.processes.items())
            if worker.service == service and versions[name] != newest
        ]
        for name in older[kept:]:
            worker = self.processes.pop(name)
            self._end_listing(name)
            self._publish_process(worker, "draining")
            eventlet.spawn(self._retire, worker, self.rng.choice(SERVES_ON_S))

    def _retire(self, worker: WorkerProcess, serves_on_s: float) -> None:
        """Let an endpoint that drains exit, without a successor."""
        eventlet.sleep(DRAINING_S)
        self._delete_record(worker.name)
        eventlet.sleep(serves_on_s)
        worker.send_signal(signal.SIGTERM)

    # Faults of entries.

    @contextlib.contextmanager
    def chosen_entry(self, *, overlaps: bool = True) -> Iterator[EntryProcess | None]:
        """Choose an entry to fall out of step; more than half are never chosen at a time.

        Args:
            overlaps: Whether it may be one that is chosen already.

        Yields:
            The entry; ``None`` if others are out of step for too long.
        """
        entry = self._choose_entry(overlaps=overlaps)
        name = "" if entry is None else entry.name
        self._chosen[name] += 1
        try:
            yield entry
        finally:
            self._chosen[name] -= 1

    def _choose_entry(self, *, overlaps: bool) -> EntryProcess | None:
        until = time.monotonic() + MAX_WAIT_S
        while time.monotonic() < until:
            late = [one for one in self.entries if self._chosen[one.name]]
            if late and overlaps and self.rng.random() < OVERLAP_CHANCE:
                return self.rng.choice(late)
            if not late or len(late) < (len(self.entries) - 1) // 2:
                return self.rng.choice([one for one in self.entries if one not in late])
            eventlet.sleep(POLL_S)
        return None

    @contextlib.contextmanager
    def _mark_out_of_step(self, entry: EntryProcess) -> Iterator[None]:
        self.callers.out_of_step[entry.name] += 1
        start = time.monotonic()
        try:
            yield
        finally:
            self.callers.out_of_step[entry.name] -= 1
            end = time.monotonic() + AFTERMATH_S
            self.out_of_step.append(Span(entry.name, start, end))

    def cut_off(self, entry: EntryProcess, cut: Cut, for_s: float) -> None:
        """Cut paths of an entry for a while.

        Args:
            entry: The entry.
            cut: Which paths.
            for_s: For how long, in seconds.
        """
        path = self.store_proxies[self.entries.index(entry)]
        assert isinstance(path, StorePath)
        with contextlib.ExitStack() as stack:
            if cut.peers:
                stack.enter_context(self._mark_out_of_step(entry))
            if cut.store:
                self.record_store_fault(for_s + AFTERMATH_S, entry.name)
            stack.enter_context(
                self._network.cut(entry.name, cut.peers, holds=cut.holds_datagrams)
            )
            stack.enter_context(path.cut(cut.store, stays_silent=cut.stays_silent))
            eventlet.sleep(for_s)

    def stand_still(self, entry: EntryProcess, for_s: float) -> None:
        """Stop an entry's process for a while.

        Args:
            entry: The entry.
            for_s: For how long, in seconds.
        """
        self.record_disruption(entry.name, for_s + AFTERMATH_S)
        with self._mark_out_of_step(entry):
            entry.send_signal(signal.SIGSTOP)
            eventlet.sleep(for_s)
            entry.send_signal(signal.SIGCONT)

    def clear_faults(self) -> None:
        """End every fault, and let all endpoints treat requests plainly."""
        ProcessCluster.clear_faults(self)
        self.faults_ended_at = time.monotonic()

    # What was seen.

    def notes(self) -> list[str]:
        """Return the share of take-ups that were served, and how soon."""
        return out_of_step_notes(self.observations, self.listings, self.out_of_step)

    def violations(self) -> list[str]:
        """Return a line for each violated invariant."""
        facts = self.facts()
        due = without_lost(self.observations, self.listings)
        return [
            *process_violations(self.observations, facts, due=due),
            *rejoined_violations(self.observations, facts),
            *out_of_step_violations(
                self.observations,
                facts,
                self.listings,
                self.faults_ended_at,
            ),
        ]


def _own_ip(entry: EntryProcess) -> str:
    """Return the address to which an entry's socket for datagrams is bound."""
    first, second, _, last = entry.ip.split(".")
    return f"{first}.{second}.2.{last}"


def _path(service: str) -> str:
    return f"/story/{service}/"
