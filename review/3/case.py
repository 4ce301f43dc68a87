"""Case 3: an entry that was cut off for a moment brings a gone worker back to others."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from entries import Entry, make_entries, now, operator_config, reserve_net, route
from playing import play
from standins import Answer, Plan, Requester, Store, StorePath, Worker

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = Path(__file__).with_name("record.txt")

BOUNDS = {
    "contact_ms": 4000,
    "ack_ms": 6000,
    "sync_s": 6,
    "drain_timeout_ms": 3000,
    "config_apply_ms": 3000,
    "max_skew_ms": 6000,
    "recover_s": 15,
}
"""The bounds of fld-orders-grown that differ from those of catastra-valnorte."""

ENTRIES = 6
"""Entries in one zone; the site's largest zone has six."""

ZONE, REGION = "bcw-a", "bc-west"

SERVICES = ("registro-a", "registro-b", "registro-c", "registro-d")
WORKERS = 4
"""Workers of each service."""

CALLERS = 2
"""Requesters of each service at each entry."""

DRAIN_S = 3.0
LINGER_S = 1.5
"""How much longer a leaving worker serves on after that: "a little longer"."""

WARM_UP_S = 6.0
ROUNDS = 6
ROUND_S = 14.0
CUT_AT_S, CUT_S, LEAVE_AT_S = 4.0, 1.2, 4.3
"""In each round: when one entry's path to the store is cut, for how long, and when a worker
leaves, in seconds."""

JOINS_AT_S = (3.8, 6.0, 7.3, 7.3)
"""When a new worker of each service joins in each round, in seconds."""


class Case:
    """The system, its callers, and what they saw."""

    def __init__(self) -> None:
        self.net = reserve_net()
        self.store = Store(f"{self.net}.1")
        self.paths: list[StorePath] = []
        self.entries: list[Entry] = []
        self.workers: list[Worker] = []
        self.running: dict[str, list[Worker]] = {name: [] for name in SERVICES}
        self.left_at: dict[str, float] = {}
        self.cut: list[tuple[str, float, float]] = []
        self.answers: list[Answer] = []
        self.notes: list[str] = []
        self.started_at = 0.0

    async def start(self) -> None:
        """Start the store, the workers and the entries."""
        await self.store.start()
        routes = [
            route(name, name, "unsafe", timeout_ms=2000, target_latency_ms=200)
            for name in SERVICES
        ]
        self.store.put("op/config", operator_config(routes, list(SERVICES)))
        for name in SERVICES * WORKERS:
            await self._start_worker(name)
        for number in range(ENTRIES):
            path = StorePath(f"{self.net}.{50 + number}", self.store.address)
            await path.start()
            self.paths.append(path)
        self.entries = make_entries(
            self.net, [path.address for path in self.paths], (ZONE,), REGION, BOUNDS
        )
        for entry in self.entries:
            entry.start()
        await asyncio.sleep(WARM_UP_S)

    async def _start_worker(self, service: str) -> None:
        number = len(self.workers)
        worker = Worker(
            self.store, f"{self.net}.{100 + number}", f"i-{number}", service, ZONE
        )
        worker.plan = Plan(0.045, slots=6)
        self.workers.append(worker)
        await worker.start()
        self.running[service].append(worker)

    async def run(self) -> None:
        """Send the traffic; cut one entry off and let a worker leave, several times."""
        self.started_at = now()
        tasks = [
            asyncio.create_task(self._call(entry, name, number))
            for entry in self.entries
            for name in SERVICES
            for number in range(CALLERS)
        ]
        for _ in range(ROUNDS):
            await asyncio.gather(
                self._cut_reader(),
                *(self._leave(name) for name in SERVICES),
                *map(self._join, SERVICES, JOINS_AT_S),
                asyncio.sleep(ROUND_S),
            )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _cut_reader(self) -> None:
        """Cut the entry off that called the store most in the last seconds."""
        before = [path.calls for path in self.paths]
        await asyncio.sleep(CUT_AT_S)
        calls = [path.calls - old for path, old in zip(self.paths, before, strict=True)]
        number = max(range(len(calls)), key=lambda item: calls[item])
        name, since = self.entries[number].name, now()
        if not HAS_TROUBLE:
            return
        self.paths[number].cut()
        await asyncio.sleep(CUT_S)
        self.paths[number].heal()
        self.cut.append((name, since, now()))
        self.notes.append(
            f"{self._at(since)} {self._at(now())} {name} was cut off from the store;"
            f" calls of each entry in {CUT_AT_S} s before: {calls}"
        )

    async def _leave(self, service: str) -> None:
        """Let a service's oldest worker withdraw its record, serve on, and end."""
        await asyncio.sleep(LEAVE_AT_S)
        worker = self.running[service].pop(0)
        left_at = worker.leave()
        self.left_at[worker.id] = left_at
        self.notes.append(f"{self._at(left_at)} {worker.id} left")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        worker.end()
        self.notes.append(f"{self._at(now())} {worker.id} ended")

    async def _join(self, service: str, at: float) -> None:
        await asyncio.sleep(at)
        await self._start_worker(service)

    async def _call(self, entry: Entry, service: str, number: int) -> None:
        requester = Requester(entry.name, entry.front)
        count = 0
        while True:
            count += 1
            rid = f"{entry.name}/{service}/{number}/{count}"
            answer = await requester.ask(service, rid, wait_s=3.0, deadline_ms=3000)
            self.answers.append(answer)
            await asyncio.sleep(0.03)

    def _at(self, moment: float) -> str:
        return f"{moment - self.started_at:8.3f}"

    def _was_in_touch(self, name: str, moment: float) -> bool:
        """Return whether an entry was not cut off in the last ``contact_ms``."""
        contact_s = BOUNDS["contact_ms"] / 1000
        return not any(
            name == cut and since <= moment <= until + contact_s
            for cut, since, until in self.cut
        )

    def judge(self) -> int:
        """Write the record; return the exit code."""
        entry_of = {item.rid: item.entry for item in self.answers}
        status_of = {item.rid: item.status for item in self.answers}
        late = 0
        for worker in self.workers:
            left_at = self.left_at.get(worker.id)
            if left_at is None:
                continue
            for run in worker.arrivals:
                entry = entry_of.get(run.rid, run.rid.partition("/")[0])
                if run.at <= left_at + DRAIN_S or not self._was_in_touch(entry, run.at):
                    continue
                late += 1
                self.notes.append(
                    f"{self._at(run.at)} {run.rid} reached {worker.id}"
                    f" {run.at - left_at:.3f} s after it was gone, from {entry};"
                    f" done: {run.is_done}, its requester got {status_of.get(run.rid)}"
                )
        answered = sum(item.status == 200 and item.is_whole for item in self.answers)
        self.notes.append(
            f"{len(self.answers)} requests, {answered} answered; {late} reached a worker"
            f" more than {DRAIN_S} s after it was gone"
        )
        has_run = answered > 0.9 * len(self.answers) > 0 and len(
            self.left_at
        ) == ROUNDS * len(SERVICES)
        result = 1 if late else 0 if has_run else 2
        self._write(result)
        return result

    def _write(self, result: int) -> None:
        lines = [f"trouble: {'yes' if HAS_TROUBLE else 'no'}", f"result: {result}"]
        lines += self.notes
        lines.append("requests: sent, ended, entry, id, status, whole, error")
        lines += [
            f"{self._at(item.sent_at)} {self._at(item.ended_at)} {item.entry} {item.rid} "
            f"{item.status} {item.is_whole} {item.error}"
            for item in sorted(self.answers, key=lambda item: item.sent_at)
        ]
        lines.append("runs: arrived, worker, id, done")
        lines += [
            f"{self._at(run.at)} {worker.id} {run.rid} {run.is_done}"
            for worker in self.workers
            for run in worker.arrivals
        ]
        RECORD.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    play(Case, RECORD)
