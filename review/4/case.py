"""DRAIN: workers that left are kept after connections to the store fell silent."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))

from rig import (  # noqa: E402
    BOUNDS,
    Entry,
    Headers,
    Net,
    Record,
    Store,
    Worker,
    ask,
    main,
    now,
    request_id,
)

ZONES = ("bilbao-a", "vitoria-b", "santander-c")
PER_S = 20.0
"""Requests a second to each entry."""

CONTACT_S = BOUNDS["contact_ms"] / 1000
DRAIN_S = BOUNDS["drain_timeout_ms"] / 1000
MARGIN_S = 0.05
"""A request counts only if it is this much later than the rule allows."""

LEAVES_AFTER_S = 0.5
"""When the workers leave, after the connections have fallen silent."""

STARTS_BEFORE_S = 0.35
"""When the workers that replace them start, before that."""

ROUNDS = 3
"""How often that happens; each time, one worker of each zone is replaced."""

ROUND_S = 13.0
"""Time between two rounds: by then the workers of the last one have ended."""

SERVES_ON_S = 8.0
"""How long a worker serves on after its entry has gone."""


class StallingStore(Store):
    """A store whose open connections can fall silent, while new ones work."""

    def __init__(self, ip: str, record: Record) -> None:
        super().__init__(ip, record)
        self._open: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    def silence_open_connections(self) -> None:
        """Send nothing more on the connections that are open now, and read nothing."""
        self._silent |= self._open
        self.record.line(f"{len(self._open)} open connections to the store are silent")

    async def answer(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a read of the store, unless its connection is silent."""
        self._open.add(writer)
        try:
            return await super().answer(method, target, headers, body, _Gate(self, writer))
        finally:
            if writer.is_closing():
                self._open.discard(writer)

    def is_silent(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether a connection is silent."""
        return writer in self._silent


class _Gate:
    """Writes to a connection, unless it is silent."""

    def __init__(self, store: StallingStore, writer: asyncio.StreamWriter) -> None:
        self._store = store
        self._writer = writer

    def write(self, data: bytes) -> None:
        """Write bytes."""
        if not self._store.is_silent(self._writer):
            self._writer.write(data)

    async def drain(self) -> None:
        """Wait until they are sent; for good on a silent connection."""
        while self._store.is_silent(self._writer):
            await asyncio.sleep(3600)
        await self._writer.drain()


def config() -> dict[str, object]:
    """Return the operator's configuration."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-notices",
                "host": "notices.example",
                "path_prefix": "/notices/",
                "type": "safe",
                "timeout_ms": 1000,
                "target_latency_ms": 200,
                "priority": 2,
                "service": "registro",
                "max_attempts": 2,
                "public": False,
            }
        ],
        "services": [
            {
                "name": "registro",
                "health_path": "/health",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [],
    }


async def send(entry: Entry, record: Record, seconds: float) -> None:
    """Send requests to an entry at a rate, each on a new connection."""
    tasks, end, at = set(), now() + seconds, now()

    async def one() -> None:
        rid = request_id()
        fields = [
            ("Host", "notices.example"),
            ("Request-Id", rid),
            ("Request-Deadline-Ms", "1000"),
        ]
        record.line(f"requester sends {rid} to {entry.name}")
        found = await ask(entry.front, "GET", "/notices/1", fields, timeout_s=1.5)
        record.line(f"requester gets {found.status} {found.problem} for {rid}")

    while at < end:
        at += random.expovariate(PER_S)
        await asyncio.sleep(max(at - now(), 0.0))
        task = asyncio.create_task(one())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)


class Fleet:
    """Starts workers, each at an address of its own."""

    def __init__(self, net: Net, store: Store, record: Record) -> None:
        self._net = net
        self._store = store
        self._record = record
        self._numbers = itertools.count()

    async def add(self, zone: str) -> Worker:
        """Start a worker, which writes itself into the store."""
        number = next(self._numbers)
        ip = self._net.ip(100 + number)
        worker = Worker(ip, f"worker-{zone}-{number}", self._record)
        worker.slots = 6
        await worker.start()
        self._store.put(f"servers/{worker.id}", worker.beat("registro", zone))
        return worker


async def case(folder: Path, record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    net = Net()
    store = StallingStore(net.ip(1), record)
    await store.start()
    fleet = Fleet(net, store, record)
    workers = [await fleet.add(zone) for zone in ZONES * 2]
    store.put("op/config", config())
    seeds = [f"{net.ip(10 + number)}:8229" for number in range(3)]
    entries = [
        Entry(folder, net, number, store, record, seeds=seeds, zone=zone)
        for number, zone in enumerate(ZONES)
    ]
    late: list[str] = []
    try:
        for entry in entries:
            await entry.start(bootstrap=True)
        for entry in entries:
            await entry.wait_until_ready()
        await asyncio.sleep(6.0)
        seconds = ROUNDS * (ROUND_S + 1.0)
        load = [asyncio.create_task(send(entry, record, seconds)) for entry in entries]
        for number in range(ROUNDS):
            await asyncio.sleep(3.0 + random.random())
            leaving = workers[number * len(ZONES) : (number + 1) * len(ZONES)]
            workers += [await fleet.add(zone) for zone in ZONES]
            await asyncio.sleep(STARTS_BEFORE_S)
            late += await leave(store, leaving, record, has_trouble=has_trouble)
            await asyncio.sleep(ROUND_S - SERVES_ON_S - 4.0)
        await asyncio.gather(*load)
    finally:
        for entry in entries:
            await entry.kill()
    text = (
        f"DRAIN: {len(late)} requests reached workers more than {DRAIN_S} s after they "
        f"had left, with all machines in touch for {CONTACT_S} s"
    )
    record.line(text)
    print(text)
    return bool(late)


async def leave(
    store: StallingStore, leaving: list[Worker], record: Record, *, has_trouble: bool
) -> list[str]:
    """Let workers leave just after the open connections have fallen silent.

    Returns:
        The requests that reached one of them later than the rule allows.
    """
    silent_at = now()
    if has_trouble:
        store.silence_open_connections()
    await asyncio.sleep(LEAVES_AFTER_S)
    left_at = now()
    for worker in leaving:
        store.delete(f"servers/{worker.id}")
    await asyncio.sleep(SERVES_ON_S)
    in_touch_at = silent_at + CONTACT_S if has_trouble else 0.0
    allowed_until = max(left_at + DRAIN_S, in_touch_at) + MARGIN_S
    late = []
    for worker in leaving:
        await worker.stop()
        for at, rid, _ in worker.arrivals:
            if at > allowed_until:
                late.append(rid)
                record.line(
                    f"late: {rid} reached {worker.name} at {at:.3f}; it had left at "
                    f"{left_at:.3f}, and all were in touch from {in_touch_at:.3f}"
                )
    return late


if __name__ == "__main__":
    main(str(Path(__file__).parent), case)
