"""DRAIN after connections to the store went silent: see claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    HOST,
    ZONES,
    Deployment,
    Entry,
    Worker,
    WorkerRequest,
    new_rid,
    run_case,
)

FOLDER = Path(__file__).resolve().parent

ENTRY_ZONES = (ZONES[0], ZONES[0], ZONES[1], ZONES[1], ZONES[2])
"""5 `front` in 3 zones, as the sheet has them."""

ROUNDS = 4
PER_ENTRY_S = 30.0
"""Requests a second that each entry gets."""

SERVICE = "registro"
CONTACT_S = BOUNDS["contact_ms"] / 1000
DRAIN_S = BOUNDS["drain_timeout_ms"] / 1000
MARGIN_S = 0.05

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "notice-send",
            "host": HOST,
            "path_prefix": "/cufi504/",
            "type": "safe",
            "timeout_ms": 1000,
            "target_latency_ms": 200,
            "priority": 2,
            "service": SERVICE,
            "max_attempts": 2,
            "public": True,
        }
    ],
    "services": [
        {
            "name": SERVICE,
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


async def work(worker: Worker, request: WorkerRequest) -> None:
    """Answer after 45 ms, as the sheet has it."""
    await asyncio.sleep(0.045)
    seal = "Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    await request.answer(worker.id.encode() * 50, more=seal)


async def send_steadily(place: Deployment, entry: Entry) -> None:
    """Send requests to an entry at a steady rate."""
    while True:
        headers = {"Request-Id": new_rid(), "Request-Deadline-Ms": "1000"}
        place.spawn(_ask(place, entry, headers))
        await asyncio.sleep(1 / PER_ENTRY_S)


async def _ask(place: Deployment, entry: Entry, headers: dict[str, str]) -> None:
    await place.ask(entry, "GET", "/cufi504/2f", headers)


def new_worker(place: Deployment, number: int, zone: str) -> Worker:
    """Return a worker that is not started."""
    return Worker(place.record, f"i-{number:08x}", SERVICE, zone, work)


async def run_round(place: Deployment, number: int) -> int:
    """Let a worker leave without a word, beside the trouble.

    Returns:
        The number of requests that reached it too late.
    """
    leaving = place.workers[-1 - number]
    await asyncio.sleep(3.0)
    silent_at = place.record.now()
    if place.has_trouble:
        place.store.silence_open_connections()
    await asyncio.sleep(0.2)
    # It never says that it drains: its entry goes, and it serves on.
    place.store.delete(f"servers/{leaving.id}")
    acked_at = place.record.now()
    await asyncio.sleep(8.0)
    # Silent connections count as a reset of the connections of all machines.
    from_s = max(acked_at + DRAIN_S, silent_at + CONTACT_S if place.has_trouble else 0.0)
    late = [item for item in leaving.arrivals if item.at > from_s + MARGIN_S]
    before = sum(item.at <= acked_at for item in leaving.arrivals)
    text = f"round {number}: {leaving.id} ran {before} requests while it was listed, and"
    text += f" {len(late)} more than {DRAIN_S} s after the store had acknowledged"
    text += " its removal, all machines in touch"
    if late:
        last = max(item.at for item in late)
        text += f"; the last {last - acked_at:.2f} s after the ack and"
        text += f" {last - silent_at:.2f} s after the connections went silent"
    place.record.say(text)
    return len(late)


async def case() -> int:
    """Run all rounds; return the exit code."""
    place = Deployment(FOLDER, ENTRY_ZONES)
    try:
        zones = (*ZONES, *(ZONES[2],) * ROUNDS)
        place.workers = [new_worker(place, i, zone) for i, zone in enumerate(zones)]
        await place.start(CONFIG)
        for entry in place.entries:
            place.spawn(send_steadily(place, entry))
        await asyncio.sleep(4.0)
        late = [await run_round(place, number) for number in range(ROUNDS)]
        place.record.say(f"rule DRAIN {'broken' if any(late) else 'held'}: {late}")
        return BROKEN if any(late) else HELD
    finally:
        await place.stop()


if __name__ == "__main__":
    run_case(case)
