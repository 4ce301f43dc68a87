"""Measures an entry process that gets many large request bodies at once.

Starts one entry for each size of its memory and number of bodies, with a stand-in endpoint
that answers after a moment. Callers send the bodies at once; others send small requests
beside them. With ``--compare``, ordinary requests are sent to two versions of the code in
turn instead.
"""

from __future__ import annotations

import json
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median, quantiles

import click
import eventlet
from eventlet.green import socket

from tests.direct.standins import Dialog, EndpointStandIn
from tests.platform.store_standin import StoreStandIn, endpoint_record
from tests.soak.entries import FRONT_PORT, ROOT, EntryProcess, reserved_net

BODY_BYTES = 4 * 1024 * 1024
DEADLINE_S = 8.0
HOLD_S = 0.2
"""Time after which the endpoint answers a large request, in seconds."""

SMALL_BYTES = 2048
SMALL_INTERVAL_S = 0.05
WARM_UP_S = 2.0
MAX_CONNECTIONS = 60
"""Connections that a caller opens until one is read: a busy entry closes some unread."""

KEPT_CONNECTIONS = 16
"""Callers that send ordinary requests one after the other, each on one connection."""

HEADER = (
    "| memory_mb | bodies | peak MB | answered | refused | closed | slowest answer s "
    "| slowest refusal s | small answered | small p95 ms |\n" + "|---" * 10 + "|"
)


@dataclass
class Outcomes:
    """How requests of one kind ended.

    Attributes:
        statuses: Requests by status of the response; 0 for none.
        times_s: Times until the response by status, in seconds.
    """

    statuses: Counter[int] = field(default_factory=Counter)
    times_s: dict[int, list[float]] = field(default_factory=dict)

    def record(self, status: int, seconds: float) -> None:
        """Record the end of one request."""
        self.statuses[status] += 1
        self.times_s.setdefault(status, []).append(seconds)

    def slowest_s(self, status: int) -> float:
        """Return the longest time until a response of a status, in seconds."""
        return max(self.times_s.get(status, [0.0]))


@contextmanager
def running_entry(code: Path, memory_mb: float) -> Iterator[EntryProcess]:
    """Start an entry with one endpoint.

    Args:
        code: Root of the code that it runs.
        memory_mb: Memory of its settings, in MB.
    """
    store, endpoint = StoreStandIn(), EndpointStandIn(_respond)
    route = {
        "name": "upload",
        "host": "tools.example",
        "path_prefix": "/",
        "type": "unsafe",
        "timeout_ms": DEADLINE_S * 1000,
        "max_attempts": 1,
        "service": "work",
    }
    services = [{"name": "work", "max_connections": 200}]
    content = {"version": 1, "routes": [route], "services": services}
    content["limits"] = {"max_body_bytes": BODY_BYTES}
    store.put("op/config", json.dumps(content).encode())
    record = endpoint_record(
        service="work", address=endpoint.address, zone="hall1", slots=200
    )
    store.put("servers/e-1", record)
    with reserved_net() as net, tempfile.TemporaryDirectory() as folder:
        entry = EntryProcess(0, net, store.address, Path(folder))
        entry.code = code
        entry.limits = {"memory_mb": memory_mb}
        entry.start()
        try:
            while not entry.has_loaded:
                eventlet.sleep(0.05)
            eventlet.sleep(WARM_UP_S)
            yield entry
        finally:
            entry.stop()
            endpoint.close()


def _respond(dialog: Dialog) -> None:
    if len(dialog.request) > BODY_BYTES:
        eventlet.sleep(HOLD_S)
    dialog.respond(b"fine")


def _request(rid: str, size: int) -> bytes:
    head = (
        f"POST /upload/a HTTP/1.1\r\nHost: tools.example\r\nRequest-Id: {rid}\r\n"
        f"Request-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\nContent-Length: {size}\r\n\r\n"
    )
    return head.encode() + b"p" * size


def _exchange(sock: socket.socket, request: bytes) -> int:
    """Send a request; return the status of the response, or 0 if there is none."""
    sock.sendall(request)
    data = b""
    while b"\r\n\r\n" not in data:
        received = sock.recv(65536)
        if not received:
            return 0
        data += received
    return int(data.split(b" ", 2)[1])


def _send(entry: EntryProcess, rid: str, size: int, outcomes: Outcomes) -> None:
    """Send a request on a new connection, again if it is closed unread."""
    start = time.monotonic()
    status = 0
    for _ in range(MAX_CONNECTIONS):
        try:
            with socket.create_connection((entry.ip, FRONT_PORT), timeout=30.0) as sock:
                status = _exchange(sock, _request(rid, size))
        except ConnectionError:
            status = 0
        if status:
            break
        eventlet.sleep(0.02)
    outcomes.record(status, time.monotonic() - start)


def _send_small(
    entry: EntryProcess, outcomes: Outcomes, is_over: Callable[[], bool]
) -> None:
    number = 0
    while not is_over():
        number += 1
        eventlet.spawn_n(_send, entry, f"small-{number}", SMALL_BYTES, outcomes)
        eventlet.sleep(SMALL_INTERVAL_S)


def measure_bodies(code: Path, memory_mb: float, bodies: int) -> str:
    """Send large bodies at once; return the figures as a row of a table.

    Args:
        code: Root of the code of the entry.
        memory_mb: Memory of its settings, in MB.
        bodies: Number of bodies.
    """
    large, small = Outcomes(), Outcomes()
    with running_entry(code, memory_mb) as entry:
        senders = [
            eventlet.spawn(_send, entry, f"large-{number}", BODY_BYTES, large)
            for number in range(bodies)
        ]
        beside = eventlet.spawn(
            _send_small, entry, small, lambda: all(sender.dead for sender in senders)
        )
        beside.wait()
        eventlet.sleep(1.0)
        peak_mb = entry.peak_mb
    served_s = small.times_s.get(200, [0.0])
    p95_ms = quantiles(served_s, n=20)[-1] * 1000 if len(served_s) > 1 else 0.0
    return (
        f"| {memory_mb:.0f} | {bodies} | {peak_mb:.0f} | {large.statuses[200]} "
        f"| {large.statuses[503]} | {bodies - large.statuses[200] - large.statuses[503]} "
        f"| {large.slowest_s(200):.2f} | {large.slowest_s(503):.2f} "
        f"| {small.statuses[200]} of {small.statuses.total()} | {p95_ms:.0f} |"
    )


def _send_ordinary(entry: EntryProcess, name: str, until: float) -> int:
    """Send requests one after the other; return how many were answered."""
    count = 0
    with socket.create_connection((entry.ip, FRONT_PORT), timeout=30.0) as sock:
        while time.monotonic() < until:
            count += _exchange(sock, _request(f"{name}-{count}", SMALL_BYTES)) == 200
    return count


def measure_ordinary(code: Path, seconds: float) -> tuple[float, float]:
    """Measure ordinary requests on kept connections.

    Args:
        code: Root of the code of the entry.
        seconds: Length of the measurement, in seconds.

    Returns:
        Answers per second, and processor time per answer, in milliseconds.
    """
    with running_entry(code, 600.0) as entry:
        cpu_s, until = entry.cpu_s, time.monotonic() + seconds
        callers = [
            eventlet.spawn(_send_ordinary, entry, f"caller-{number}", until)
            for number in range(KEPT_CONNECTIONS)
        ]
        count = sum(caller.wait() for caller in callers)
        return count / seconds, 1000 * (entry.cpu_s - cpu_s) / max(count, 1)


def _compare(before: Path, after: Path, pairs: int, seconds: float) -> None:
    """Print the figures of two versions of the code, measured in turn."""
    click.echo("| pair | before 1/s | after 1/s | before ms each | after ms each |")
    click.echo("|---" * 5 + "|")
    ratios = []
    for pair in range(1, pairs + 1):
        codes = (before, after) if pair % 2 else (after, before)
        found = {code: measure_ordinary(code, seconds) for code in codes}
        old, new = found[before], found[after]
        ratios.append(new[1] / old[1])
        click.echo(
            f"| {pair} | {old[0]:.0f} | {new[0]:.0f} | {old[1]:.3f} | {new[1]:.3f} |"
        )
    click.echo(f"median of after / before, processor time: {median(ratios):.3f}")


@click.command()
@click.option("--memory", default="64,150,600", help="Memory of the settings, in MB.")
@click.option("--bodies", default="1,10,30,100", help="Numbers of bodies at once.")
@click.option("--code", default=str(ROOT), help="Root of the code of the entry.")
@click.option("--compare", default="", help="Root of earlier code to compare with.")
@click.option("--pairs", default=6, help="Measurements of each version with --compare.")
@click.option("--seconds", default=6.0, help="Length of each measurement with --compare.")
def main(
    *, memory: str, bodies: str, code: str, compare: str, pairs: int, seconds: float
) -> None:
    """Print a table."""
    if compare:
        _compare(Path(compare), Path(code), pairs, seconds)
        return
    click.echo(HEADER)
    for memory_mb in memory.split(","):
        for count in bodies.split(","):
            click.echo(measure_bodies(Path(code), float(memory_mb), int(count)))


if __name__ == "__main__":
    main()
