"""Trial for issue 39: the store comes back from an older copy. It is not a case.

``PYTHONPATH=review python3 review/trials/older_copy.py`` prints how many requests ran at
the old service after the store had acknowledged a configuration that moves them to the new
one.
With ``TROUBLE=0`` the same configuration comes without the return of an older copy.
"""

from __future__ import annotations

import asyncio
import os
from typing import Any

from entries import Entry, make_entries, now, operator_config, reserve_net, route
from standins import Answer, Plan, Requester, Store, Worker, response

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SERVICES = ("registro", "registro-new")
WARM_UP_S = 6.0
AWAY_S = 1.0
AFTER_S = 25.0
SLACK_S = 5.0
"""Time after the ack in which a request may still run at the old service, in seconds:
``config_apply_ms``, and ``contact_ms`` after the store is back."""


class CopiedStore(Store):
    """A store that can go away, and come back as it was some seconds before."""

    def __init__(self, ip: str) -> None:
        super().__init__(ip)
        self._is_away = False
        self._era = 1
        self._copy: tuple[Any, ...] = ()

    def make_copy(self) -> None:
        """Keep what the store holds now."""
        self._copy = (
            self._revision,
            dict(self._items),
            dict(self._created),
            list(self._changes),
        )

    def go_away(self) -> None:
        """Reset all calls until `come_back`."""
        self._is_away = True
        self.cut_waiting_watches()

    def restore_copy(self) -> None:
        """Forget all that was written since the copy; revisions are given out again."""
        revision, items, created, changes = self._copy
        self._revision, self._items, self._created = revision, items, created
        self._changes = changes
        self._era += 1

    def come_back(self) -> None:
        """Answer calls again."""
        self._is_away = False

    async def _watch(self, query: dict[str, str]) -> bytes:
        if int(query["since_revision"]) > self._revision:
            return response("410 Gone")
        return await super()._watch(query)

    async def _send(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        if self._is_away:
            writer.transport.abort()
            return
        era = f"\r\nStore-Era: {self._era}\r\n".encode()
        await super()._send(writer, answer.replace(b"\r\n", era, 1))


def configuration(version: int, service: str) -> dict[str, Any]:
    """Return a configuration whose only route goes to a service."""
    lookup = route("lookup", service, "unsafe", timeout_ms=2000, target_latency_ms=200)
    return {**operator_config([lookup], list(SERVICES)), "version": version}


async def call(entry: Entry, number: int, answers: list[Answer]) -> None:
    """Send requests, one after another."""
    requester = Requester(entry.name, entry.front)
    for count in range(100_000):
        rid = f"{entry.name}-{number}-{count}"
        answers.append(await requester.ask("lookup", rid, wait_s=3.0, deadline_ms=3000))
        await asyncio.sleep(0.05)


async def change_configuration(store: CopiedStore, workers: list[Worker]) -> float:
    """Change the configuration, after the store was away or not; return the ack's time."""
    if not HAS_TROUBLE:
        return store.put("op/config", configuration(8, SERVICES[1]))
    store.go_away()
    await asyncio.sleep(AWAY_S)
    store.restore_copy()
    acked_at = store.put("op/config", configuration(8, SERVICES[1]))
    for worker in workers:
        worker.write_record()
    store.come_back()
    return acked_at


async def main() -> None:
    """Run the trial, and print what was seen."""
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    net = reserve_net()
    store = CopiedStore(f"{net}.1")
    await store.start()
    store.put("op/config", configuration(7, SERVICES[0]))
    workers: list[Worker] = []

    async def join(service: str) -> None:
        number = len(workers)
        worker = Worker(store, f"{net}.{100 + number}", f"i-{number}", service, "bilbao-a")
        worker.plan = Plan(0.045, slots=6)
        workers.append(worker)
        await worker.start()

    for service in SERVICES * 2:
        await join(service)
    entries = make_entries(net, [store.address] * 5)
    answers: list[Answer] = []
    try:
        for entry in entries:
            entry.start()
        await asyncio.sleep(WARM_UP_S)
        tasks = [
            asyncio.create_task(call(entry, number, answers))
            for entry in entries
            for number in range(3)
        ]
        store.make_copy()
        await asyncio.sleep(1.0)
        for _ in range(2):
            await join(SERVICES[0])
            await asyncio.sleep(1.0)
        acked_at = await change_configuration(store, workers)
        await asyncio.sleep(AFTER_S)
        for task in tasks:
            task.cancel()
    finally:
        for entry in entries:
            entry.stop()
    old = {run.rid for worker in workers[::2] for run in worker.arrivals}
    old |= {run.rid for worker in workers[4:] for run in worker.arrivals}
    late = [
        item for item in answers if item.rid in old and item.sent_at > acked_at + SLACK_S
    ]
    last_s = max((item.sent_at for item in late), default=acked_at) - acked_at
    print(f"trouble: {HAS_TROUBLE}, {now() - acked_at:.0f} s observed after the ack")
    print(f"{len(answers)} requests; {len(late)} sent over {SLACK_S} s after the ack ran")
    print(f"at the old service, the last one {last_s:.1f} s after it,")
    print(f"from {len({item.entry for item in late})} of {len(entries)} entries")


asyncio.run(main())
