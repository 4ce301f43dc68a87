"""TWICE where a stream goes on elsewhere, and its first worker works on: see twice.txt."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    ZONES,
    Deployment,
    Worker,
    WorkerRequest,
    new_rid,
    run_case,
)

FOLDER = Path(__file__).resolve().parent

ENTRY_ZONES = (ZONES[0], ZONES[1])
SERVICE = "redactor"

EVENTS = 8
GAP_S = 0.03
FIRST_S = 0.12
"""A stream of the sheet's `valuation-brief`: its events, the time between them and
to the first one."""

PREEMPTED_S = 1.8
"""How long a stream waits that its worker has preempted, to be read again."""

LASTING = "i-00000000"
"""The worker that does not drop a request when its connection closes; the others do."""

OVERLAP_S = 0.4
STREAMS = 24

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "valuation-brief",
            "host": HOST,
            "path_prefix": "/pufi791/",
            "type": "streaming",
            "timeout_ms": 4000,
            "target_latency_ms": 800,
            "priority": 1,
            "service": SERVICE,
            "max_attempts": 2,
            "public": True,
            "session_affinity": True,
            "resumable": True,
            "gap_aim_ms": 400,
        }
    ],
    "services": [
        {
            "name": SERVICE,
            "health_path": "/health",
            "max_connections": 630,
            "protocol": "h1",
            "tls": False,
            "engine": {"slots": 5, "kv_tokens": 185027, "stride": 3},
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


@dataclass
class Span:
    """When a worker worked on a request.

    Attributes:
        after: The event behind which it continued; 0 for a run from the start.
    """

    worker: str
    after: int
    began_at: float
    ended_at: float = float("inf")


@dataclass
class Floor:
    """What the workers do.

    Attributes:
        preempt: Ids of streams that their first worker preempts within the stream.
    """

    place: Deployment
    preempt: set[str] = field(default_factory=set)
    spans: dict[str, list[Span]] = field(default_factory=dict)

    async def work(self, worker: Worker, request: WorkerRequest) -> None:
        """Send a stream; stop when the connection is closed."""
        record = self.place.record
        after = int(request.head.headers.get("last-event-id", "0"))
        span = Span(worker.id, after, record.now())
        runs = self.spans.setdefault(request.rid, [])
        runs.append(span)
        stream = asyncio.create_task(self._send(request, after, len(runs)))
        left = asyncio.create_task(request.reader.read(1))
        waits = {stream} if worker.id == LASTING else {stream, left}
        done, _ = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        span.ended_at = record.now()
        stream.cancel()
        left.cancel()
        record.write(
            "work",
            rid=request.rid,
            worker=worker.id,
            after=after,
            began=f"{span.began_at:.3f}",
            ended=f"{span.ended_at:.3f}",
            finished=stream in done,
        )
        raise ConnectionError("done")

    async def _send(self, request: WorkerRequest, after: int, run: int) -> None:
        is_preempted = request.rid in self.preempt
        writer = request.writer
        await asyncio.sleep(FIRST_S)
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request.rid}\r\n"
        head += "Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nConnection: close\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {request.rid} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            with contextlib.suppress(ConnectionError, OSError):
                await writer.drain()
            is_pause = is_preempted and run == 1 and number == EVENTS // 2
            await asyncio.sleep(PREEMPTED_S if is_pause else GAP_S)
        writer.write(b"0\r\n\r\n")
        with contextlib.suppress(ConnectionError, OSError):
            await writer.drain()


async def ask(place: Deployment, floor: Floor, number: int, *, is_preempted: bool) -> str:
    """Send a stream to an entry; return its id."""
    rid = new_rid()
    if is_preempted:
        floor.preempt.add(rid)
    headers = {
        "Request-Id": rid,
        "Model-Name": "m",
        "Token-Counts": "1800,30",
        "Prompt-Prefix-Hash": f"5c1e07a2:60,{rid[:8]}:1740",
        "Request-Deadline-Ms": "4000",
    }
    entry = place.entries[number % len(place.entries)]
    answer = await place.ask(entry, "POST", "/pufi791/2f", headers, b"x" * 4700)
    place.record.write(
        "stream", rid=rid, events=answer.body.count(b"id: "), whole=answer.is_whole
    )
    return rid


async def case() -> int:
    """Run the case; return the exit code."""
    place = Deployment(FOLDER, ENTRY_ZONES)
    floor = Floor(place)
    try:
        place.workers = [
            Worker(place.record, f"i-{number:08x}", SERVICE, zone, floor.work, slots=5)
            for number, zone in enumerate(ZONES)
        ]
        await place.start(CONFIG)
        await asyncio.sleep(4.0)
        for number in range(40):
            await ask(place, floor, number, is_preempted=False)
        rids = []
        for number in range(STREAMS):
            rids.append(await ask(place, floor, number, is_preempted=place.has_trouble))
            await asyncio.sleep(0.5)
        broken = 0
        for rid in rids:
            spans = floor.spans.get(rid, [])
            place.record.write("spans", rid=rid, spans=spans)
            for earlier, later in zip(spans, spans[1:], strict=False):
                if later.after and earlier.ended_at > later.began_at + OVERLAP_S:
                    broken += 1
        place.record.say(
            f"{broken} of {len(rids)} streams went on at another worker while the previous"
            f" one was still at work {OVERLAP_S} s later"
        )
        place.record.say(f"rule TWICE {'broken' if broken else 'held'}")
        return BROKEN if broken else HELD
    finally:
        await place.stop()


if __name__ == "__main__":
    run_case(case)
