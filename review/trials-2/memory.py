"""Entries that grow beyond their memory under uploads within the limits (REPORT-2.md)."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import (  # noqa: E402
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

ENTRY_ZONES = (ZONES[0], ZONES[1])
MEMORY_MB = 150
"""Memory of a `front` process of the sheet; the platform kills one that exceeds it."""

SERVICE = "registro"
MAX_BODY_BYTES = 4_194_304
CALLERS = 34
ENDS = 3
BURSTS = 6

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "parcel-lookup",
            "host": HOST,
            "path_prefix": "/puxa403/",
            "type": "unsafe",
            "timeout_ms": 8000,
            "target_latency_ms": 1000,
            "priority": 2,
            "service": SERVICE,
            "max_attempts": 1,
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
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [],
}


async def work(worker: Worker, request: WorkerRequest) -> None:
    """Answer after 45 ms."""
    await asyncio.sleep(0.045)
    seal = "Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    await request.answer(worker.id.encode() * 50, more=seal)


async def watch_memory(entry: Entry, ends: list[int], peaks: list[int]) -> None:
    """Kill the process if it exceeds its memory, as the platform does; start it again."""
    while True:
        used_mb = entry.status_kb("VmRSS") / 1024
        peaks.append(round(used_mb))
        if used_mb > MEMORY_MB:
            entry.kill()
            ends.append(round(used_mb))
            await asyncio.sleep(0.3)
            entry.start()
        await asyncio.sleep(0.005)


async def case() -> int:
    """Run the case; return the exit code."""
    place = Deployment(FOLDER, ENTRY_ZONES, memory_mb=MEMORY_MB)
    try:
        place.workers = [
            Worker(place.record, f"i-{number:08x}", SERVICE, zone, work)
            for number, zone in enumerate(ZONES)
        ]
        await place.start(CONFIG)
        ends: list[list[int]] = [[] for _ in place.entries]
        peaks: list[list[int]] = [[] for _ in place.entries]
        for entry, ended, peak in zip(place.entries, ends, peaks, strict=True):
            place.spawn(watch_memory(entry, ended, peak))
        body = b"x" * (MAX_BODY_BYTES if place.has_trouble else 600)
        for number in range(BURSTS):
            await asyncio.sleep(3.0)
            await place.wait_for(lambda: all(item.is_in for item in place.entries), 20.0)
            calls = [
                place.ask(
                    entry,
                    "POST",
                    "/puxa403/2f",
                    {"Request-Id": new_rid(), "Request-Deadline-Ms": "8000"},
                    body,
                )
                for entry in place.entries
                for _ in range(CALLERS)
            ]
            answers = await asyncio.gather(*calls)
            unanswered = sum(not item.status for item in answers)
            served = sum(item.status == 200 for item in answers)
            place.record.say(
                f"burst {number}: {len(answers)} requests of {len(body)} bytes,"
                f" {served} served, {unanswered} without an answer"
            )
        place.record.say(f"peaks: {[max(peak) for peak in peaks]} MB")
        place.record.say(f"killed for their memory: {ends} (MB)")
        is_broken = all(len(ended) >= ENDS for ended in ends)
        place.record.say(f"rule Fault {'broken' if is_broken else 'held'}")
        return BROKEN if is_broken else HELD
    finally:
        await place.stop()


if __name__ == "__main__":
    run_case(case)
