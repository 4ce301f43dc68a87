"""QUOTA: two entries start while all three seeds are lost; each uses a whole limit."""

from __future__ import annotations

import asyncio
import contextlib
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
    message,
    now,
    request_id,
)

RATE = 20_224
BURST = 22_812
"""`rate_per_s` and `burst` of the tenant in the example of `fleetbench wire`."""

USUAL_PER_S = RATE / 1.8
"""Tokens a second that the tenant usually sends."""

HOT = 7.5
"""How many times its usual the tenant sends (`hot_tenant`)."""

PROMPT, OUTPUT = 2_890, 110
HOT_S = 11.0
LIMIT = (RATE * BOUNDS["quota_window_s"] + BURST) * (1 + BOUNDS["quota_over"]) + BOUNDS[
    "quota_slack"
]


class Engine(Worker):
    """A model worker: streams 17 events, as appeal drafts have."""

    async def run(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Send the events of a stream."""
        rid = headers["request-id"]
        fields = [
            ("Request-Id", rid),
            ("Response-Seal", f"seal.{self.id}.{rid}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        await asyncio.sleep(0.1)
        writer.write(message("HTTP/1.1 200 OK", fields))
        for number in range(1, 18):
            event = f"id: {number}\ndata: {rid}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.007)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def config() -> dict[str, object]:
    """Return the operator's configuration."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-drafts",
                "host": "drafts.example",
                "path_prefix": "/drafts/",
                "type": "streaming",
                "timeout_ms": 8000,
                "target_latency_ms": 1000,
                "priority": 0,
                "service": "redactor",
                "max_attempts": 1,
                "public": False,
                "session_affinity": True,
                "resumable": False,
                "gap_aim_ms": 400,
            }
        ],
        "services": [
            {
                "name": "redactor",
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
        "tenants": [
            {
                "name": "tenant-a",
                "api_keys": ["key-a"],
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": RATE,
                "burst": BURST,
            }
        ],
    }


class Requesters:
    """Requesters of the tenant; each sends on a new connection to an entry that is in."""

    def __init__(self, entries: list[Entry], record: Record) -> None:
        self._entries = entries
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count(1)
        self.inside: list[Entry] = []
        self.sent_at: dict[str, float] = {}
        self.statuses: dict[int, int] = {}

    async def watch_entries(self) -> None:
        """Ask every second which entries are ready, as the platform does."""
        while True:
            ready = [await entry.is_ready() for entry in self._entries]
            self.inside = [
                entry for entry, is_in in zip(self._entries, ready, strict=True) if is_in
            ]
            await asyncio.sleep(1.0)

    async def send(self, seconds: float, tokens_per_s: float) -> None:
        """Send requests at a rate."""
        end, at = now() + seconds, now()
        while at < end:
            at += random.expovariate(tokens_per_s / (PROMPT + OUTPUT))
            await asyncio.sleep(max(at - now(), 0.0))
            if self.inside:
                task = asyncio.create_task(self._ask(random.choice(self.inside)))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _ask(self, entry: Entry) -> None:
        rid, number = request_id(), next(self._numbers)
        self.sent_at[rid] = now()
        fields = [
            ("Host", "drafts.example"),
            ("Request-Id", rid),
            ("Model-Name", "m"),
            ("Token-Counts", f"{PROMPT},{OUTPUT}"),
            ("Prompt-Prefix-Hash", f"5c1e07a2:60,{rid[:8]}:{PROMPT - 60}"),
            ("Request-Deadline-Ms", "8000"),
            ("X-Api-Key", "key-a"),
        ]
        self._record.line(f"requester sends {rid} to {entry.name}")
        found = await ask(
            entry.front, "POST", f"/drafts/{number}", fields, b"p" * 18_000, timeout_s=9.0
        )
        self.statuses[found.status] = self.statuses.get(found.status, 0) + 1
        self._record.line(f"requester gets {found.status} {found.problem} for {rid}")

    async def finish(self) -> None:
        """Wait for all answers."""
        if self._tasks:
            await asyncio.wait(self._tasks)


def worst_window(
    arrivals: list[tuple[float, str]], sent_at: dict[str, float]
) -> tuple[float, int]:
    """Return the window with most tokens of requests sent and run in it."""
    window_s = BOUNDS["quota_window_s"]
    worst, worst_at = 0, 0.0
    for begin in sent_at.values():
        runs = {
            rid for at, rid in arrivals if begin <= sent_at[rid] and at <= begin + window_s
        }
        tokens = len(runs) * (PROMPT + OUTPUT)
        if tokens > worst:
            worst, worst_at = tokens, begin
    return worst_at, worst


async def case(folder: Path, record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    net = Net()
    store = Store(net.ip(1), record)
    await store.start()
    engines = [
        Engine(net.ip(100 + number), f"engine-{number}", record) for number in range(5)
    ]
    for engine in engines:
        await engine.start()
        store.put(f"servers/{engine.id}", engine.beat("redactor", "bilbao-a"))
    store.put("op/config", config())
    zones = ("bilbao-a", "bilbao-a", "vitoria-b", "vitoria-b", "santander-c")
    seeds = [f"{net.ip(10 + number)}:8229" for number in range(3)]
    entries = [
        Entry(folder, net, number, store, record, seeds=seeds, zone=zone)
        for number, zone in enumerate(zones)
    ]
    requesters = Requesters(entries, record)
    watcher = None
    try:
        for entry in entries:
            await entry.start(bootstrap=True)
        for entry in entries:
            await entry.wait_until_ready()
        watcher = asyncio.create_task(requesters.watch_entries())
        await asyncio.sleep(1.0)
        await requesters.send(12.0, USUAL_PER_S)
        if has_trouble:
            record.line("all entries are killed; the three seeds do not come back")
            await asyncio.gather(*(entry.kill() for entry in entries))
            await asyncio.sleep(1.0)
            for entry in entries[3:]:
                await entry.start(bootstrap=False)
            for entry in entries[3:]:
                await entry.wait_until_ready()
        await requesters.send(12.0, USUAL_PER_S)
        record.line(f"the tenant sends {HOT} times its usual")
        await requesters.send(HOT_S, USUAL_PER_S * HOT)
        await requesters.send(4.0, USUAL_PER_S)
        await requesters.finish()
    finally:
        if watcher is not None:
            watcher.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watcher
        for entry in entries:
            await entry.kill()
    arrivals = [(at, rid) for engine in engines for at, rid, _ in engine.arrivals]
    at, tokens = worst_window(arrivals, requesters.sent_at)
    record.line(f"answers by status: {requesters.statuses}")
    text = (
        f"QUOTA: at most {tokens} tokens were run in a window of 8 s (from {at:.1f} s); "
        f"the rule allows {LIMIT:.0f}"
    )
    record.line(text)
    print(text)
    return tokens > LIMIT


if __name__ == "__main__":
    main(str(Path(__file__).parent), case)
