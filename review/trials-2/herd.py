"""QUOTA where all entries are killed more than once in a window: see herd.txt."""

from __future__ import annotations

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    HOST,
    ZONES,
    Arrival,
    Deployment,
    Worker,
    WorkerRequest,
    new_rid,
    run_case,
)

FOLDER = Path(__file__).resolve().parent

ENTRY_ZONES = (ZONES[0], ZONES[1], ZONES[2], ZONES[0], ZONES[1])
"""5 `front` in 3 zones, as the sheet has them; the first three are the seeds."""

SERVICE = "registro"
KEY = "i9n73hh2b9wu3fexd9dn"
RATE, BURST = 20224, 22812
"""Limit of the organisation, as the example of `fleetbench wire` has it."""

TOKENS = (1460, 80)
OFFERED = 3.5
"""Tokens that the organisation asks for, in multiples of its limit; the site file has up to
7.5 times the usual (`hot_tenant`)."""

OUTAGE_S = 1.0
LIFE_S = 2.0
KILLS = 3
AFTER_S = 12.0
"""How long the entries are down and run between kills, and how long the case goes on."""

WINDOW_S = float(BOUNDS["quota_window_s"])
BOUND = (RATE * WINDOW_S + BURST) * (1 + BOUNDS["quota_over"]) + BOUNDS["quota_slack"]

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "parcel-lookup",
            "host": HOST,
            "path_prefix": "/puxa403/",
            "type": "unsafe",
            "timeout_ms": 1000,
            "target_latency_ms": 200,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 1,
            "public": False,
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
    "tenants": [
        {
            "name": "hule930",
            "api_keys": [KEY],
            "priority": 0,
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": RATE,
            "burst": BURST,
        }
    ],
}


async def work(worker: Worker, request: WorkerRequest) -> None:
    """Answer after 45 ms, as the sheet has it."""
    await asyncio.sleep(0.045)
    seal = "Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    await request.answer(worker.id.encode() * 50, more=seal)


async def send_steadily(place: Deployment) -> None:
    """Send requests of one organisation to the entries that are in, in turn."""
    pause_s = sum(TOKENS) / (RATE * OFFERED)
    for number in itertools.count():
        entries = [entry for entry in place.entries if entry.is_in]
        if entries:
            headers = {
                "Request-Id": new_rid(),
                "Token-Counts": "{},{}".format(*TOKENS),
                "Request-Deadline-Ms": "1000",
                "X-Api-Key": KEY,
            }
            entry = entries[number % len(entries)]
            place.spawn(_ask(place, entry, headers))
        await asyncio.sleep(pause_s)


async def _ask(place: Deployment, entry: object, headers: dict[str, str]) -> None:
    await place.ask(entry, "POST", "/puxa403/2f", headers, b"x" * 600)


def busiest_window(arrivals: list[Arrival]) -> tuple[int, float]:
    """Return the most tokens that were run in one window, and when that ended."""
    arrivals = sorted(arrivals, key=lambda item: item.at)
    most, at, total, first = 0, 0.0, 0, 0
    for item in arrivals:
        total += item.tokens
        while arrivals[first].at <= item.at - WINDOW_S:
            total -= arrivals[first].tokens
            first += 1
        if total > most:
            most, at = total, item.at
    return most, at


async def case() -> int:
    """Run the case; return the exit code."""
    place = Deployment(FOLDER, ENTRY_ZONES)
    try:
        place.workers = [
            Worker(place.record, f"i-{number:08x}", SERVICE, zone, work)
            for number, zone in enumerate(ZONES)
        ]
        await place.start(CONFIG)
        place.spawn(send_steadily(place))
        await asyncio.sleep(20.0)
        lost_at = place.record.now()
        if place.has_trouble:
            for _ in range(KILLS):
                for entry in place.entries:
                    entry.kill()
                await asyncio.sleep(OUTAGE_S)
                for entry in place.entries:
                    entry.start()
                await asyncio.sleep(LIFE_S)
        await asyncio.sleep(AFTER_S)
        arrivals = [item for worker in place.workers for item in worker.arrivals]
        before = busiest_window([item for item in arrivals if item.at < lost_at])
        after = busiest_window(arrivals)
        place.record.say(f"bound {BOUND:.0f} tokens in {WINDOW_S} s")
        place.record.say(f"before {lost_at:.1f} s: {before[0]} tokens at most")
        place.record.say(f"later: {after[0]} tokens at most, until {after[1]:.1f} s")
        is_broken = max(before[0], after[0]) > BOUND
        place.record.say(f"rule QUOTA {'broken' if is_broken else 'held'}")
        return BROKEN if is_broken else HELD
    finally:
        await place.stop()


if __name__ == "__main__":
    run_case(case)
