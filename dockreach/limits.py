"""Limits of organisations that hold across all entries, without shared state.

The declared list of entries splits each limit into equal shares, one for each entry. An
entry that needs more borrows from another entry, which stops using the lent part before it
sends the loan. A loan is a lease: the borrower counts it from the time of its request and
stops earlier than the lender resumes. The shares in use therefore never add up to more than
the limit, whatever messages are lost or delayed.
(Escrow after O'Neil, "The Escrow Transactional Method", 1986.)

Only rates are lent. A limit on concurrent requests is split into whole slots, which stay at
their entry, because a request may outlive a lease.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .declarations import Organisation
from .messages import ShareLoan
from .rendezvous import ranked

LOAN_LEASE_S = 3.0
"""Time until the lender uses a lent part again."""

LOAN_MARGIN_S = 0.5
"""How much earlier the borrower's lease ends than the lender's."""

MAX_LEND_FRACTION = 0.5
"""Largest fraction of its remaining share that an entry lends in one loan."""

BURST_S = 1.0
"""Size of a rate limit's bucket, in seconds at the limited rate."""

MICROSECONDS_PER_S = 1_000_000

MIN_ASK_INTERVAL_S = 0.5
"""Shortest time between two requests for loans for one organisation."""

DEMAND_GAIN = 0.5


class Loan(NamedTuple):
    """A part of a share that is lent until a monotonic time."""

    amount: float
    expires_at: float


@dataclass(slots=True)
class Share:
    """One entry's share of one organisation's limits.

    Attributes:
        own_fraction: The declared share, as a fraction of the limits.
        slots: Concurrent requests that this entry may admit.
        lent: Parts lent to other entries, which this entry does not use.
        borrowed: Parts borrowed from other entries.
        tokens_left: Level of the token rate's bucket. It may fall below zero, as a request
            is admitted while the level is positive and then subtracts all its tokens.
        requests_left: Level of the request rate's bucket.
        running: Admitted requests that have not ended.
        refilled_at: When the buckets were last refilled.
        requests_seen: Requests seen since the start, refused ones included.
        refused_since_ask: Requests refused since this entry last asked for a loan.
        last_asked_at: When this entry last asked for a loan.
    """

    own_fraction: float
    slots: int = 0
    lent: list[Loan] = field(default_factory=list)
    borrowed: list[Loan] = field(default_factory=list)
    tokens_left: float = 0.0
    requests_left: float = 0.0
    running: int = 0
    refilled_at: float = 0.0
    requests_seen: int = 0
    refused_since_ask: int = 0
    last_asked_at: float = float("-inf")

    def fraction(self, now: float) -> float:
        """Return the fraction of the limits that this entry may use now.

        Loans that have expired are dropped.
        """
        self.lent = [loan for loan in self.lent if loan.expires_at > now]
        self.borrowed = [loan for loan in self.borrowed if loan.expires_at > now]
        lent = sum(loan.amount for loan in self.lent)
        borrowed = sum(loan.amount for loan in self.borrowed)
        return max(0.0, self.own_fraction - lent) + borrowed


class Shortage(NamedTuple):
    """An organisation for which this entry needs a loan."""

    organisation: str
    number: int
    amount: float


@dataclass(slots=True)
class LimitTable:
    """One entry's shares of the limits of all organisations.

    A new incarnation of an entry does not know what its predecessor lent, so it uses no
    share until those loans have expired.

    Args:
        entry: This entry's name.
        started: When this incarnation started, in monotonic seconds.
        old_loans_s: Time after the start in which loans of the predecessor may still run.
        organisations: The declared organisations, by name.
        entries: The declared entries, which each have a share.
        shares: This entry's shares, by organisation.
        asked_at: When each outstanding loan was requested, by organisation and number.
    """

    entry: str
    started: float = 0.0
    old_loans_s: float = LOAN_LEASE_S + LOAN_MARGIN_S
    organisations: dict[str, Organisation] = field(default_factory=dict)
    entries: tuple[str, ...] = ()
    shares: dict[str, Share] = field(default_factory=dict)
    asked_at: dict[tuple[str, int], float] = field(default_factory=dict)
    _increase_at: float | None = None
    _last_number: int = field(init=False)

    def __post_init__(self) -> None:
        """Number requests for loans from the start time on.

        A loan to an earlier incarnation may arrive late, and answers no request of this.
        """
        self._last_number = int(self.started * MICROSECONDS_PER_S)

    def configure(
        self,
        organisations: dict[str, Organisation],
        entries: tuple[str, ...],
        now: float,
        settle_s: float = 0.0,
    ) -> None:
        """Apply declared limits.

        A smaller share applies at once; a larger one only after `settle_s`, when every
        other entry has applied its smaller one.
        """
        self.organisations = organisations
        self.entries = entries
        has_increase = False
        for name, organisation in organisations.items():
            target = self._declared_share(name, organisation)
            share = self.shares.setdefault(name, Share(own_fraction=0.0, refilled_at=now))
            has_increase |= (
                target.own_fraction > share.own_fraction or target.slots > share.slots
            )
            share.own_fraction = min(share.own_fraction, target.own_fraction)
            share.slots = min(share.slots, target.slots)
        for name in [name for name in self.shares if name not in organisations]:
            del self.shares[name]
        self._increase_at = now + settle_s if has_increase else None
        self.apply_increases(now)

    def apply_increases(self, now: float) -> None:
        """Apply larger shares once all entries have applied the smaller ones."""
        if self._increase_at is None or now < self._increase_at:
            return
        self._increase_at = None
        for name, organisation in self.organisations.items():
            target = self._declared_share(name, organisation)
            self.shares[name].own_fraction = target.own_fraction
            self.shares[name].slots = target.slots

    def _declared_share(self, name: str, organisation: Organisation) -> Share:
        """Return this entry's declared share of an organisation's limits.

        Slots that are left over by an equal split go to the entries that rank first.
        """
        if self.entry not in self.entries:
            return Share(own_fraction=0.0)
        count = len(self.entries)
        slots, rest = divmod(organisation.concurrency, count)
        has_extra_slot = self.entry in ranked(name, self.entries)[:rest]
        return Share(own_fraction=1.0 / count, slots=slots + int(has_extra_slot))

    def usable_fraction(self, name: str, now: float) -> float:
        """Return the fraction of an organisation's limits that this entry may use now."""
        share = self.shares.get(name)
        if share is None or now < self.started + self.old_loans_s:
            return 0.0
        return share.fraction(now)

    def admit(self, name: str, tokens: int, now: float) -> float | None:
        """Count a request against its organisation's limits.

        Args:
            name: The organisation.
            tokens: The request's prompt and output tokens.
            now: Monotonic time, in seconds.

        Returns:
            ``None`` if it is admitted, else the delay before a retry in seconds.
        """
        organisation = self.organisations[name]
        share = self.shares[name]
        share.requests_seen += 1
        if not _has_limits(organisation):
            share.running += 1
            return None
        self.apply_increases(now)
        fraction = self.usable_fraction(name, now)
        self._refill(share, organisation, fraction, now)
        retry = _retry_after(share, organisation, fraction)
        if retry is not None:
            share.refused_since_ask += 1
            return retry
        share.running += 1
        share.requests_left -= 1
        share.tokens_left -= tokens
        return None

    def release(self, name: str) -> None:
        """Count the end of an admitted request."""
        share = self.shares.get(name)
        if share is not None and share.running > 0:
            share.running -= 1

    def shortages(self, now: float) -> list[Shortage]:
        """Return the loans to request, one for each organisation with refused requests.

        An organisation for which a loan was requested within the last `MIN_ASK_INTERVAL_S`
        is left out.
        """
        found = []
        for name, share in self.shares.items():
            if (
                share.refused_since_ask == 0
                or now - share.last_asked_at < MIN_ASK_INTERVAL_S
            ):
                continue
            share.refused_since_ask = 0
            share.last_asked_at = now
            self._last_number += 1
            self.asked_at[(name, self._last_number)] = now
            found.append(Shortage(name, self._last_number, share.own_fraction))
        return found

    def lend(self, name: str, wanted: float, now: float) -> float:
        """Lend a part of a share and stop using it.

        Returns:
            The lent fraction of the limits; 0 if this entry needs its share itself or
            cannot tell what it has lent.
        """
        share = self.shares.get(name)
        organisation = self.organisations.get(name)
        if share is None or organisation is None:
            return 0.0
        if now < self.started + self.old_loans_s or share.refused_since_ask:
            return 0.0
        spare = share.own_fraction - sum(
            loan.amount for loan in share.lent if loan.expires_at > now
        )
        amount = min(wanted, spare * MAX_LEND_FRACTION)
        if amount < 0.01:
            return 0.0
        share.lent.append(Loan(amount, now + LOAN_LEASE_S))
        self._refill(share, organisation, share.fraction(now), now)
        return amount

    def borrow(self, loan: ShareLoan) -> None:
        """Use a loan until its lease ends, counted from when this entry requested it."""
        asked = self.asked_at.pop((loan.organisation, loan.number), None)
        share = self.shares.get(loan.organisation)
        if asked is None or share is None:
            return
        until = asked + loan.lease_ms / 1000 - LOAN_MARGIN_S
        share.borrowed.append(Loan(loan.amount, until))

    def _refill(
        self, share: Share, organisation: Organisation, fraction: float, now: float
    ) -> None:
        elapsed = max(0.0, now - share.refilled_at)
        share.refilled_at = now
        rate = organisation.tokens_per_s * fraction
        share.tokens_left = min(rate * BURST_S, share.tokens_left + rate * elapsed)
        rate = organisation.requests_per_s * fraction
        share.requests_left = min(
            max(rate * BURST_S, 1.0), share.requests_left + rate * elapsed
        )


def _has_limits(organisation: Organisation) -> bool:
    return bool(
        organisation.requests_per_s or organisation.tokens_per_s or organisation.concurrency
    )


def _retry_after(share: Share, organisation: Organisation, fraction: float) -> float | None:
    if organisation.concurrency and share.running >= share.slots:
        return 1.0
    if organisation.requests_per_s and share.requests_left < 1.0:
        return _refill_time_s(
            1.0 - share.requests_left, organisation.requests_per_s * fraction
        )
    if organisation.tokens_per_s and share.tokens_left <= 0.0:
        return _refill_time_s(1.0 - share.tokens_left, organisation.tokens_per_s * fraction)
    return None


def _refill_time_s(amount: float, rate: float) -> float:
    longest = 30.0
    return min(longest, amount / rate) if rate > 0 else 1.0
