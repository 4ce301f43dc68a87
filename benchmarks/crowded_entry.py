"""Measures one entry that gets many times its share of new connections.

A load balancer may hand most new connections of a data hall to one entry. This starts two
entries with plain stand-in endpoints, limits the processor time of the first one as a
platform does, and opens new connections to it at several rates, each for one request.
Callers whose connection is closed unread, or not answered within a second, turn to the
other entry, as those of the users do.
"""

from __future__ import annotations

import random
import signal
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from statistics import quantiles

import click
import eventlet
from eventlet.green import socket

from tests.soak.cluster import Cluster
from tests.soak.entries import FRONT_PORT, EntryProcess, reserved_net

PERIOD_S = 0.1
"""Period of the processor time limit, in seconds."""

PATIENCE_S = 1.0
"""Time after which a caller tries another entry if its request was not answered."""

WARM_UP_S = 2.0


@dataclass
class Totals:
    """Outcomes of the requests at one rate.

    Attributes:
        first: Outcomes of first attempts, at the crowded entry.
        second: Outcomes of second attempts, at the other entry.
        answered_s: Times until the answers of first attempts, in seconds.
    """

    first: Counter[str] = field(default_factory=Counter)
    second: Counter[str] = field(default_factory=Counter)
    answered_s: list[float] = field(default_factory=list)

    def row(self, rate: float, cpu_s: float, rss_mb: float, for_s: float) -> str:
        """Return the figures as a row of a table."""
        sent = sum(self.first.values())
        read = sent - self.first["unread"]
        served = self.first["served"]
        times = quantiles(self.answered_s or [0.0, 0.0], n=100)
        return (
            f"| {rate:.0f} | {sent} | {self.first['unread']} "
            f"| {served / max(read, 1):.3f} | {self.first['late']} "
            f"| {times[49] * 1000:.0f} | {times[94] * 1000:.0f} "
            f"| {(served + self.second['served']) / max(sent, 1):.3f} "
            f"| {cpu_s / for_s:.2f} | {1000 * cpu_s / max(read, 1):.1f} | {rss_mb:.0f} |"
        )


HEADER = (
    "| new connections/s | requests | closed unread | served of those read | over 1 s "
    "| median ms | p95 ms | served in all | cores | CPU ms each | MB |\n"
    + "|---" * 11
    + "|"
)


def _limit_cpu(entry: EntryProcess, share: float, is_over: threading.Event) -> None:
    """Let a process run for a part of each period only."""
    while not is_over.wait(PERIOD_S * share):
        entry.send_signal(signal.SIGSTOP)
        is_over.wait(PERIOD_S * (1 - share))
        entry.send_signal(signal.SIGCONT)


def _exchange(ip: str, rid: str, patience_s: float) -> str:
    """Send a request on a new connection; return its outcome."""
    head = (
        f"POST /safe/x HTTP/1.1\r\nHost: tools.example\r\nRequest-Id: {rid}\r\n"
        "Request-Deadline-Ms: 3500\r\nX-Api-Key: key-free\r\nToken-Counts: 16,4\r\n"
        "Content-Length: 0\r\n\r\n"
    )
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with eventlet.Timeout(patience_s):
            sock.connect((ip, FRONT_PORT))
            sock.sendall(head.encode())
            data = sock.recv(65536)
    except eventlet.Timeout:
        return "late"
    except OSError:
        return "unread"
    finally:
        sock.close()
    if not data:
        return "unread"
    return "served" if data.startswith(b"HTTP/1.1 200") else "refused"


def _call(entries: list[EntryProcess], number: int, totals: Totals) -> None:
    start = time.monotonic()
    outcome = _exchange(entries[0].ip, f"safe-{number}", PATIENCE_S)
    totals.first[outcome] += 1
    if outcome == "served":
        totals.answered_s.append(time.monotonic() - start)
    elif outcome in ("unread", "late"):
        totals.second[_exchange(entries[1].ip, f"safe-{number}-2", 2.0)] += 1


def _measure(cluster: Cluster, rate: float, for_s: float, rng: random.Random) -> str:
    totals = Totals()
    cpu_s = cluster.entries[0].cpu_s
    until = time.monotonic() + for_s
    number = int(rate * 10_000)
    while time.monotonic() < until:
        eventlet.sleep(rng.expovariate(rate))
        number += 1
        eventlet.spawn_n(_call, cluster.entries, number, totals)
    eventlet.sleep(PATIENCE_S + 2.0)
    entry = cluster.entries[0]
    return totals.row(rate, entry.cpu_s - cpu_s, entry.rss_mb, for_s)


@click.command()
@click.option("--share", default=0.39, help="Part of a core that the entry may use.")
@click.option("--rates", default="10,40,80,120,200,300", help="New connections a second.")
@click.option("--seconds", default=6.0, help="Length of the measurement of each rate.")
def main(*, share: float, rates: str, seconds: float) -> None:
    """Print a table with a row for each rate."""
    rng = random.Random(1)
    click.echo(HEADER)
    with reserved_net() as net, tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(1, net, Path(folder), 2)
        is_over = threading.Event()
        try:
            cluster.start()
            eventlet.sleep(WARM_UP_S)
            limiter = threading.Thread(
                target=_limit_cpu, args=(cluster.entries[0], share, is_over), daemon=True
            )
            limiter.start()
            for rate in rates.split(","):
                click.echo(_measure(cluster, float(rate), seconds, rng))
        finally:
            is_over.set()
            cluster.entries[0].send_signal(signal.SIGCONT)
            cluster.stop()


if __name__ == "__main__":
    main()
