"""CONFIG: in a storm of changes of a large configuration, dropped keys still run."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))

from rig import (  # noqa: E402
    Entry,
    Net,
    Record,
    Store,
    Worker,
    ask,
    main,
    now,
    request_id,
)

LINK_MBPS = 10.0
"""`link_mbps` of most front machines of `remar-rs-grown`."""

BIG_CONFIG = 1400
"""Routes that `big_config` adds there."""

STORM_S, GAP_S = 3.99, 0.177
"""`for_s` and `gap_s` of a `config_storm` there."""

CHANGES = int(STORM_S / GAP_S)

BOUNDS: dict[str, Any] = {
    "contact_ms": 4000,
    "ack_ms": 6000,
    "sync_s": 6,
    "drain_timeout_ms": 3000,
    "config_apply_ms": 3000,
    "revoke_ms": 5000,
    "max_skew_ms": 6000,
    "retry_burst": 98,
    "recover_s": 15,
    "pass_ms": 200,
    "again_s": 8.3,
}
"""The bounds of `remar-rs-grown` (grown/LATER.md) that differ from those of the rig."""

APPLY_S = max(BOUNDS["config_apply_ms"], BOUNDS["revoke_ms"]) / 1000
"""The rule names `config_apply_ms`; keys are given the longer `revoke_ms` here."""

MARGIN_S = 0.1
"""A request counts only if it was sent this much later than the rule allows."""

ASK_EVERY_S = 0.25
ASK_FOR_S = 12.0


class Link:
    """The link of one machine: carries what the store sends at the link's rate."""

    def __init__(self, ip: str, store: Store) -> None:
        self.ip = ip
        self.port = 0
        self._store = store
        self._free_at = 0.0

    @property
    def address(self) -> str:
        """IP address and port."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._carry, self.ip, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        up_reader, up_writer = await asyncio.open_connection(
            self._store.ip, self._store.port
        )
        sending = asyncio.create_task(self._copy(reader, up_writer, mbps=None))
        try:
            await self._copy(up_reader, writer, mbps=LINK_MBPS)
        finally:
            sending.cancel()
            for item in (writer, up_writer):
                item.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        mbps: float | None,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(4096):
                if mbps is not None:
                    self._free_at = max(self._free_at, now()) + len(data) * 8e-6 / mbps
                    await asyncio.sleep(max(self._free_at - now(), 0.0))
                writer.write(data)
                await writer.drain()
            writer.close()


def route(name: str, prefix: str) -> dict[str, object]:
    """Return a route."""
    return {
        "name": name,
        "host": "stations.example",
        "path_prefix": prefix,
        "type": "unsafe",
        "timeout_ms": 4000,
        "target_latency_ms": 415,
        "priority": 2,
        "service": "estacoes-api",
        "max_attempts": 1,
        "public": False,
    }


def key(number: int) -> str:
    """Return a key of the tenant."""
    return f"key-{number:04}"


def config(version: int, dropped: int) -> dict[str, object]:
    """Return a configuration, with one key less for each change of the storm."""
    routes = [route("r-calib", "/calib/")]
    routes += [route(f"r-big-{number}", f"/big-{number}/") for number in range(BIG_CONFIG)]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "estacoes-api",
                "health_path": "/health",
                "max_connections": 230,
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
                "name": "lab",
                "api_keys": [key(number) for number in range(dropped, CHANGES + 1)],
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 0,
                "burst": 0,
            }
        ],
    }


async def probe(entry: Entry, record: Record, number: int, acked_at: float) -> list[str]:
    """Send requests with a dropped key, from when it may not be used any more.

    Returns:
        Their ids.
    """
    sent = []
    await asyncio.sleep(max(acked_at + APPLY_S + MARGIN_S - now(), 0.0))
    while now() < acked_at + APPLY_S + ASK_FOR_S:
        rid, sent_at = request_id(), now()
        fields = [
            ("Host", "stations.example"),
            ("Request-Id", rid),
            ("Request-Deadline-Ms", "4000"),
            ("X-Api-Key", key(number)),
        ]
        sent.append(rid)
        found = await ask(entry.front, "POST", "/calib/1", fields, b"note", timeout_s=4.5)
        record.line(
            f"{entry.name} answers {found.status} {found.problem} to {rid} with "
            f"{key(number)}, sent {sent_at - acked_at:.2f} s after the ack that dropped it"
        )
        await asyncio.sleep(ASK_EVERY_S)
    return sent


async def case(folder: Path, record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    net = Net()
    store = Store(net.ip(1), record)
    await store.start()
    zones = ("poa-centro", "caxias-serra")
    workers = []
    for number, zone in enumerate(zones):
        worker = Worker(net.ip(100 + number), f"worker-{zone}", record)
        worker.slots = 6
        await worker.start()
        store.put(f"servers/{worker.id}", worker.beat("estacoes-api", zone))
        workers.append(worker)
    store.put("op/config", config(1, 0))
    links = [Link(net.ip(50 + number), store) for number in range(2)]
    seeds = [f"{net.ip(10 + number)}:8229" for number in range(2)]
    entries = []
    for number, zone in enumerate(zones):
        await links[number].start()
        entries.append(
            Entry(
                folder,
                net,
                number,
                links[number],
                record,
                seeds=seeds,
                zone=zone,
                zones=zones,
                bounds=BOUNDS,
                memory_mb=200,
            )
        )
    try:
        for entry in entries:
            await entry.start(bootstrap=True)
        for entry in entries:
            await entry.wait_until_ready()
        await asyncio.sleep(8.0)
        acked_at = []
        for number in range(1, CHANGES + 1):
            if has_trouble or number == CHANGES:
                store.put("op/config", config(1 + 2 * number, number))
                record.line(f"acknowledged: {key(number - 1)} and those before are dropped")
            acked_at.append(now())
            if has_trouble:
                await asyncio.sleep(GAP_S)
        probed = range(0, CHANGES, 3) if has_trouble else [CHANGES - 1]
        found = await asyncio.gather(
            *(
                probe(entry, record, number, acked_at[number])
                for entry in entries
                for number in probed
            )
        )
    finally:
        for entry in entries:
            await entry.kill()
    ran = {rid for worker in workers for _, rid, _ in worker.arrivals}
    stale = [rid for sent in found for rid in sent if rid in ran]
    text = (
        f"CONFIG: {len(stale)} requests were run with keys whose dropping had been "
        f"acknowledged more than {APPLY_S} s before they were sent"
    )
    record.line(text)
    print(text)
    return bool(stale)


if __name__ == "__main__":
    main(str(Path(__file__).parent), case)
