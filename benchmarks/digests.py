"""Measures what an entry of the direct path spends on others: digests and limits.

Cores alone, no sockets: bytes of a digest, and processor time to make one, to take one in,
and to admit a request, as the number of entries grows.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import click

from dockreach.direct.datagrams import decode, encode
from dockreach.direct.digest import Address, Digest
from dockreach.direct.endpoints import EndpointTable, Published
from dockreach.direct.peers import PeerTable
from dockreach.direct.routing_config import Organisation
from dockreach.direct.token_quota import QuotaTable, QuotaTolerance

RESULTS = Path("docs/results/digests.md")
REPEATS = 2000
SIZES = (5, 29, 100, 380)
ENDPOINTS = 40
"""Endpoints that one entry has requests at: 29 requests a second of some seconds each."""

ORGANISATIONS = 30
"""Organisations that spent at one entry lately, of the target's 320."""

OWN = Address("10.0.0.1", 7600)


class Row(NamedTuple):
    """Costs at one number of entries; times in microseconds."""

    entries: int
    digest_bytes: int
    encode_us: float
    take_us: float
    admit_us: float


def measure(entries: int) -> Row:
    """Measure one number of entries."""
    peers = PeerTable(OWN, ())
    table = _endpoints()
    for number in range(entries - 1):
        peers.merge(_digest(number, 1), 1000.0)
    spending = QuotaTable(peers, QuotaTolerance(), started_at=0.0, has_predecessor=False)
    sample = _digest(0, 1)
    data = encode(sample)
    organisation = Organisation("organisation-1", frozenset(), None, 1e9, 1e9, 200)
    numbers = iter(range(2, 10**9))

    def take() -> None:
        told = decode(encode(_digest(0, next(numbers), of=sample)))
        assert isinstance(told, Digest)
        heard = peers.merge(told, 1000.0)
        before = heard.previous.digest.in_flight if heard.previous else {}
        table.replace_peer_in_flight(before, told.in_flight)

    return Row(
        entries,
        len(data),
        _time_us(lambda: encode(sample)),
        _time_us(take),
        _time_us(lambda: spending.admit(organisation, 1, 1000.0)),
    )


def _endpoints() -> EndpointTable:
    table = EndpointTable()
    for number in range(1200):
        table.publish(Published(f"i-{number:010x}", "s", "10.1.0.1:80", "h", 8, False))
    return table


def _digest(number: int, turn: int, of: Digest | None = None) -> Digest:
    if of is not None:
        of.number = turn
        return of
    return Digest(
        name=f"entry-{number}",
        address=Address(f"10.0.{number // 250}.{number % 250 + 2}", 7600),
        incarnation=number,
        number=turn,
        age_s=100.0,
        leaving=False,
        revision=1,
        endpoints_revision=1,
        in_flight={f"i-{number * 3 + i:010x}": 2 for i in range(ENDPOINTS)},
        used={f"organisation-{i}": [300] * 17 for i in range(ORGANISATIONS)},
        fleet_used={f"organisation-{i}": 4000 for i in range(ORGANISATIONS)},
        known_peers=[OWN] * 8,
    )


def _time_us(work: Callable[[], object]) -> float:
    started = time.process_time()
    for _ in range(REPEATS):
        work()
    return (time.process_time() - started) / REPEATS * 1e6


@click.command()
@click.option("--keep", is_flag=True, help="Write docs/results/digests.md.")
def main(*, keep: bool) -> None:
    """Print the table of costs."""
    lines = [
        "| entries | bytes of a digest | us to encode | us to take | us to admit |",
        "|---|---|---|---|---|",
    ]
    for size in SIZES:
        row = measure(size)
        lines.append(
            f"| {row.entries} | {row.digest_bytes} | {row.encode_us:.0f} "
            f"| {row.take_us:.0f} | {row.admit_us:.0f} |"
        )
    text = "\n".join(lines)
    click.echo(text)
    if keep:
        RESULTS.write_text(text + "\n")


if __name__ == "__main__":
    main()
