"""A system whose endpoints are processes of their own."""

from __future__ import annotations

import random
import signal
from pathlib import Path
from typing import ClassVar

import eventlet

from tests.platform.store_standin import endpoint_record

from .cluster import CRASH_EXPIRY_S, DRAINING_S, Cluster
from .process_callers import ProcessCallers
from .process_invariants import process_violations
from .process_workers import WorkerProcess
from .theme import Theme
from .worker_facts import Fact, read_facts
from .workers import SLOTS

MAX_PROCESSES = 12
"""Endpoints that run at a time by default, draining ones among them."""

ODDITIES = (0.1, 0.3, 0.5)
"""Fractions of the requests that an endpoint treats in an odd way; one is drawn for it."""

SAME_PORT_CHANCE = 0.4
"""Chance that the successor of an endpoint that ended takes its port at once."""

POLL_S = 0.05
"""Interval between checks for endpoints that exited, in seconds."""


class ProcessCluster(Cluster):
    """All parts of the system under test, with endpoints as processes.

    Attributes:
        processes: The endpoints that are published as ready, by name.
        same_port_chance: Chance that the successor of an endpoint takes its port at once.
        max_processes: Endpoints that run at a time, draining ones among them.
    """

    callers_type: ClassVar[type[ProcessCallers]] = ProcessCallers
    oddities: ClassVar[tuple[float, ...]] = ODDITIES

    def __init__(
        self,
        seed: int,
        net: int,
        folder: Path,
        entries: int,
        theme: Theme = Theme.PROCESSES,
    ) -> None:
        super().__init__(seed, net, folder, entries, theme)
        self._folder = folder
        self._workers_ip = f"127.{net}.1.1"
        self._started: list[WorkerProcess] = []
        self._is_calm = False
        self.processes: dict[str, WorkerProcess] = {}
        self.same_port_chance = SAME_PORT_CHANCE
        self.max_processes = MAX_PROCESSES
        self.callers = self.callers_type(
            self._entry_addresses,
            self._newest_applied_version,
            {},
            random.Random(seed + 1),
        )
        self.observations.outcomes = self.callers.outcomes
        self.observations.rids = self.callers.rids

    def _entry_addresses(self) -> list[tuple[str, str]]:
        return [
            (entry.name, f"{entry.callers_address[0]}:{entry.callers_address[1]}")
            for entry in self.entries
        ]

    def start(self) -> None:
        """Start everything except the callers."""
        super().start()
        eventlet.spawn(self._replace_exited)

    def add_worker(self, service: str, *, port: int = 0) -> None:
        """Start an endpoint and publish it, as soon as few enough run.

        Args:
            service: Its service.
            port: The port on which it listens; 0 lets the system choose.
        """
        worker = self._start_process(service, port)
        if worker is not None:
            self._list_process(worker)

    def _start_process(self, service: str, port: int = 0) -> WorkerProcess | None:
        """Start an endpoint as soon as few enough run; ``None`` if callers stop before."""
        while sum(worker.is_running for worker in self._started) >= self.max_processes:
            eventlet.sleep(POLL_S)
        if self.callers.is_stopped:
            return None
        self._workers_started += 1
        name = f"i-{self._workers_started}"
        oddity = 0.0 if self._is_calm else self.rng.choice(self.oddities)
        worker = WorkerProcess(
            name,
            service,
            str(self._seed),
            self._folder,
            ip=self._workers_ip,
            port=port,
            oddity=oddity,
        )
        self._started.append(worker)
        worker.wait_until_listening()
        if self._is_calm:
            worker.calm_down()
        return worker

    def _list_process(self, worker: WorkerProcess) -> None:
        """Publish an endpoint that listens."""
        self.processes[worker.name] = worker
        self._publish_process(worker, "ready")

    def _publish_process(self, worker: WorkerProcess, state: str) -> None:
        self._records_written += 1
        record = endpoint_record(
            service=worker.service,
            address=worker.address,
            zone="hall1",
            slots=SLOTS,
            state=state,
            sequence=self._records_written,
        )
        self.store.put(f"servers/{worker.name}", record)

    def _replace_exited(self) -> None:
        """Start successors of endpoints that exited, also of those that were killed."""
        while not self.callers.is_stopped:
            eventlet.sleep(POLL_S)
            for name in [n for n, w in self.processes.items() if not w.is_running]:
                eventlet.spawn(self._succeed, self.processes.pop(name))

    def _succeed(self, ended: WorkerProcess) -> None:
        """Start the successor of an endpoint whose record expires later."""
        port = ended.port if self.rng.random() < self.same_port_chance else 0
        if not port:
            eventlet.sleep(self.rng.uniform(0.0, CRASH_EXPIRY_S))
        self.add_worker(ended.service, port=port)
        eventlet.sleep(CRASH_EXPIRY_S)
        self._delete_record(ended.name)

    def drain_process(self, name: str, *, draining_s: float = DRAINING_S) -> None:
        """Let an endpoint drain and exit, after its successor has started.

        Args:
            name: The endpoint's id.
            draining_s: How long it is listed as draining, in seconds; 0 if it leaves
                without saying so.
        """
        worker = self.processes.pop(name, None)
        if worker is None:
            # It has exited, and is replaced already.
            return
        self.add_worker(worker.service)
        if draining_s:
            self._publish_process(worker, "draining")
            eventlet.sleep(draining_s)
        self._delete_record(name)
        eventlet.sleep(DRAINING_S)
        worker.send_signal(signal.SIGCONT)
        worker.send_signal(signal.SIGTERM)

    def clear_faults(self) -> None:
        """End every fault, and let all endpoints treat requests plainly."""
        super().clear_faults()
        self._is_calm = True
        for worker in self._started:
            if worker.address:
                worker.calm_down()

    def stop(self) -> None:
        """Stop everything that was started."""
        try:
            super().stop()
        finally:
            for worker in self._started:
                worker.kill()

    def facts(self) -> list[Fact]:
        """Return what all endpoints did, oldest first."""
        found = [fact for worker in self._started for fact in read_facts(worker.facts_path)]
        return sorted(found, key=lambda fact: fact.at)

    def violations(self) -> list[str]:
        """Return a line for each violated invariant."""
        return process_violations(self.observations, self.facts())
