"""Digests that leave out usage which their receivers know already."""

from __future__ import annotations

from hypothesis import example, given
from hypothesis import strategies as st

from dockreach.direct.datagrams import decode, encode
from dockreach.direct.digest import Digest
from dockreach.direct.partial_digests import (
    FULL_INTERVAL,
    DigestVariants,
    partial_digest,
)
from dockreach.direct.peers import MAX_PEERS, PeerTable
from dockreach.direct.token_quota import BUCKET_S, QuotaTable, QuotaTolerance

from .core_builders import OWN, address, digest, organisation

SENDER = address(1)
INTERVAL_S = 0.2
"""Time between digests at 20 entries, in seconds."""


class Link:
    """A sender whose digests reach one receiver, or are lost."""

    def __init__(self, *, accepts_partial: bool = True) -> None:
        self.now = 1000.0
        self._number = 0
        self.incarnation = 1
        self._accepts_partial = accepts_partial
        sender_peers = PeerTable(SENDER, ())
        self.sender_peers = sender_peers
        self.quotas = QuotaTable(
            sender_peers, QuotaTolerance(), started_at=0.0, has_predecessor=False
        )
        self.variants = DigestVariants(sender_peers)
        self.received = PeerTable(OWN, ())
        self.sizes: list[int] = []
        self.spans: list[int] = []

    def _receiver(self) -> Digest:
        """Return a digest that the sender has just received from the receiver."""
        age_s = 100.0 if self.incarnation == 1 else 0.1
        receiver = digest(
            OWN, number=self._number, incarnation=self.incarnation, age_s=age_s
        )
        receiver.accepts_partial = self._accepts_partial
        return receiver

    def use(self, name: str, tokens: int) -> None:
        """Use tokens of an organisation at the sender."""
        self.quotas._record_usage(name, tokens, self.now)

    def full_digest(self) -> Digest:
        """Return the sender's next digest with all usage."""
        self._number += 1
        full = digest(SENDER, number=self._number, used=self.quotas.report(self.now))
        full.usage_bucket = self.quotas.current_bucket(self.now)
        full.accepts_partial = True
        return full

    def send(self, *, is_lost: bool = False) -> bool:
        """Send the next digest; return whether the receiver took it."""
        full = self.full_digest()
        self.sender_peers.merge(self._receiver(), self.now)
        buckets = self.variants.covered_buckets(OWN, full, self.now)
        self.spans.append(buckets)
        data = encode(partial_digest(full, buckets))
        self.sizes.append(len(data))
        if is_lost:
            return False
        message = decode(data)
        assert isinstance(message, Digest)
        return self.received.merge(message, self.now).is_new

    def known_usage(self) -> dict[str, int]:
        """Return the sender's usage in the window, as the receiver knows it."""
        (row,) = self.received.rows
        sums = {name: sum(amounts[:17]) for name, amounts in row.digest.used.items()}
        return {name: total for name, total in sums.items() if total}

    def true_usage(self) -> dict[str, int]:
        """Return the sender's usage in the window."""
        own = self.quotas.own_usage(self.now)
        return {name: sum(amounts) for name, amounts in own.items()}


def _steps(*parts: tuple[int, bool, float]) -> list[tuple[str, int, bool, float]]:
    """Return steps: how many, whether their digests are lost, and the time after each."""
    return [
        ("assessors", 0, is_lost, seconds)
        for count, is_lost, seconds in parts
        for _ in range(count)
    ]


# Three full digests are lost in a row, so that four partial ones that arrive are useless.
@example(
    _steps(
        (11, False, 0.05),
        (1, False, 3.0),
        (1, True, 3.0),
        (1, True, 0.05),
        (3, False, 0.05),
        (1, True, 0.05),
        (1, False, 0.05),
    )
)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["assessors", "clerks", "others"]),
            st.integers(0, 5000),
            st.booleans(),
            st.sampled_from([0.05, INTERVAL_S, 0.7, 3.0]),
        ),
        max_size=60,
    )
)
def test_a_received_digest_tells_all_usage_whatever_was_lost_before(
    steps: list[tuple[str, int, bool, float]],
) -> None:
    """Guards against usage that quotas do not see since the digest with it was lost."""
    link = Link()
    assert link.send()
    since_full = 0
    for name, tokens, is_lost, seconds in steps:
        link.use(name, tokens)
        is_taken = link.send(is_lost=is_lost)
        is_full = not link.spans[-1]
        if is_taken:
            assert link.known_usage() == link.true_usage()
        # Of the digests that are sent, one of four contains all usage.
        since_full = 0 if is_full else since_full + 1
        assert since_full < FULL_INTERVAL
        assert is_taken or is_lost or not is_full
        link.now += seconds


@given(lost=st.integers(0, 30))
def test_one_lost_digest_hides_nothing_and_stops_nothing(lost: int) -> None:
    """Guards against a peer that looks silent since one full digest was lost."""
    link = Link()
    for number in range(40):
        link.use("assessors", 10)
        assert link.send(is_lost=number == lost) or number == lost
        if number != lost:
            assert link.known_usage() == link.true_usage()
        link.now += 0.7


def test_an_entry_that_leaves_sends_all_usage() -> None:
    """Guards against a last digest that is not taken, so that the peer counts as silent."""
    link = Link()
    for _ in range(6):
        link.send()
    full = link.full_digest()
    assert link.variants.covered_buckets(OWN, full, link.now)
    full.leaving = True
    assert not link.variants.covered_buckets(OWN, full, link.now)


def test_a_peer_that_is_not_received_is_sent_all_usage() -> None:
    link = Link()
    for _ in range(6):
        link.send()
    full = link.full_digest()
    assert not link.variants.covered_buckets(OWN, full, link.now + 10.0)


def test_the_sender_of_a_partial_digest_is_discovered() -> None:
    """Guards against quotas that do not count an entry whose full digest was lost."""
    table = PeerTable(OWN, ())
    part = digest(SENDER)
    part.usage_span = 3
    assert not table.merge(part, 100.0).is_new
    assert table.targets() == [SENDER]
    part.usage_span = 10**9
    assert not table.merge(part, 100.0).is_new


def test_a_digest_that_leaves_out_unknown_usage_is_not_taken() -> None:
    """Guards against an entry that restarts and takes partial usage for all of it."""
    link = Link()
    link.use("assessors", 1000)
    for _ in range(2):
        link.send(is_lost=True)
        link.now += 4 * BUCKET_S
    assert not link.send()
    assert not link.received.rows
    # The sender learns of the restart, and sends all usage.
    link.incarnation = 2
    assert link.send()
    assert link.known_usage() == {"assessors": 1000}


def test_a_peer_of_an_earlier_version_gets_full_digests() -> None:
    """Guards against an earlier version that takes usage left out for none."""
    link = Link(accepts_partial=False)
    for _ in range(2 * FULL_INTERVAL):
        link.use("assessors", 10)
        link.send()
        link.now += BUCKET_S
        (row,) = link.received.rows
        assert row.digest.usage_span == 0
        assert link.known_usage() == link.true_usage()


def test_a_digest_of_an_earlier_version_replaces_the_one_before() -> None:
    table = PeerTable(OWN, ())
    table.merge(digest(SENDER, number=1, used={"assessors": [5, 6]}), 100.0)
    table.merge(digest(SENDER, number=2, used={"assessors": [7]}), 100.2)
    assert table.rows[0].digest.used == {"assessors": [7]}


def test_most_digests_under_load_are_smaller() -> None:
    """Load pattern: sixteen organisations use tokens all the time."""
    link = Link()
    for step in range(100):
        for number in range(16):
            link.use(f"organisation-{number}", 1000 + step)
        link.send()
        link.now += INTERVAL_S
    full = [size for size, span in zip(link.sizes, link.spans, strict=True) if not span]
    parts = [size for size, span in zip(link.sizes, link.spans, strict=True) if span]
    assert len(full) <= 1 + len(link.sizes) // FULL_INTERVAL + 1
    # Of seventeen buckets a part covers those of two intervals between full digests.
    assert max(link.spans) <= 2 * FULL_INTERVAL * INTERVAL_S / BUCKET_S + 3
    assert max(parts) < full[-1]


def test_usage_that_peers_report_in_parts_counts_against_the_quota() -> None:
    """Guards against an organisation that exceeds its quota at another entry."""
    link = Link()
    quotas = QuotaTable(
        link.received, QuotaTolerance(), started_at=0.0, has_predecessor=False
    )
    customer = organisation(rate=1000.0, burst=0.0)
    for _ in range(20):
        link.use(customer.name, 500)
        link.send()
        link.now += INTERVAL_S
    assert quotas.used(customer.name, link.now) == 10_000
    assert quotas.admit(customer, 100, link.now) is not None


def test_the_memory_of_full_digests_is_bounded() -> None:
    link = Link()
    full = link.full_digest()
    for number in range(1100):
        peer = digest(address(10 + number))
        peer.accepts_partial = True
        link.now += 1.0
        link.sender_peers.expire(link.now)
        assert link.sender_peers.merge(peer, link.now).is_new
        link.variants.covered_buckets(peer.address, full, link.now)
    assert len(link.variants._last_full) == MAX_PEERS
