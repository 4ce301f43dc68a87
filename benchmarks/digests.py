"""Measures what digests and quotas cost an entry of the direct path.

Without sockets: the bytes of a digest, and the CPU time to encode one, to merge one and
to admit a request, as the number of entries grows.
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
ENTRY_COUNTS = (5, 29, 100, 380)
ENDPOINTS_IN_USE = 40
"""Endpoints with requests of one entry, at 29 requests per second of a few seconds each."""

RECENT_ORGANISATIONS = 30
"""Organisations that recently used tokens at one entry, of the 320 to be supported."""

OWN_ADDRESS = Address("10.0.0.1", 7600)


class Row(NamedTuple):
    """Costs for one number of entries; times in microseconds."""

    entries: int
    digest_bytes: int
    encode_us: float
    merge_us: float
    admit_us: float


def measure(entries: int) -> Row:
    """Measure the costs for one number of entries."""
    peers = PeerTable(OWN_ADDRESS, ())
    endpoints = _new_endpoint_table()
    for number in range(entries - 1):
        peers.merge(_digest(number, 1), 1000.0)
    quotas = QuotaTable(peers, QuotaTolerance(), started_at=0.0, has_predecessor=False)
    sample = _digest(0, 1)
    data = encode(sample)
    organisation = Organisation("organisation-1", frozenset(), None, 1e9, 1e9, 200)
    numbers = iter(range(2, 10**9))

    def merge() -> None:
        digest = decode(encode(_digest(0, next(numbers), of=sample)))
        assert isinstance(digest, Digest)
        merged = peers.merge(digest, 1000.0)
        previous = merged.previous.digest.in_flight if merged.previous else {}
        endpoints.replace_peer_in_flight(previous, digest.in_flight)

    return Row(
        entries,
        len(data),
        _mean_us(lambda: encode(sample)),
        _mean_us(merge),
        _mean_us(lambda: quotas.admit(organisation, 1, 1000.0)),
    )


def _new_endpoint_table() -> EndpointTable:
    table = EndpointTable()
    for number in range(1200):
        table.publish(Published(f"i-{number:010x}", "s", "10.1.0.1:80", "h", 8, False))
    return table


def _digest(number: int, digest_number: int, of: Digest | None = None) -> Digest:
    if of is not None:
        of.number = digest_number
        return of
    return Digest(
        name=f"entry-{number}",
        address=Address(f"10.0.{number // 250}.{number % 250 + 2}", 7600),
        incarnation=number,
        number=digest_number,
        age_s=100.0,
        leaving=False,
        revision=1,
        endpoints_revision=1,
        in_flight={f"i-{number * 3 + i:010x}": 2 for i in range(ENDPOINTS_IN_USE)},
        used={f"organisation-{i}": [300] * 17 for i in range(RECENT_ORGANISATIONS)},
        fleet_used={f"organisation-{i}": 4000 for i in range(RECENT_ORGANISATIONS)},
        known_peers=[OWN_ADDRESS] * 8,
    )


def _mean_us(work: Callable[[], object]) -> float:
    started_at = time.process_time()
    for _ in range(REPEATS):
        work()
    return (time.process_time() - started_at) / REPEATS * 1e6


@click.command()
@click.option("--keep", is_flag=True, help="Write docs/results/digests.md.")
def main(*, keep: bool) -> None:
    """Print the table of costs."""
    lines = [
        "| entries | bytes of a digest | us to encode | us to merge | us to admit |",
        "|---|---|---|---|---|",
    ]
    for size in ENTRY_COUNTS:
        row = measure(size)
        lines.append(
            f"| {row.entries} | {row.digest_bytes} | {row.encode_us:.0f} "
            f"| {row.merge_us:.0f} | {row.admit_us:.0f} |"
        )
    text = "\n".join(lines)
    click.echo(text)
    if keep:
        RESULTS.write_text(text + "\n")


if __name__ == "__main__":
    main()
