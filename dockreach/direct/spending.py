"""Token quotas of organisations, enforced by all entries together.

Each entry reports to the others how many tokens it let its callers use in each of the last
seconds; the sum over all entries counts against the quota. A peer that falls silent may
still admit requests without being seen. From then on each side uses only its own share of
what was left, so that both together stay within the hard limit.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

from .digest import Digest
from .peers import PeerRow, PeerTable
from .routing_config import Organisation

AIM = 1.15
"""Multiple of the quota of a window up to which requests are admitted while all peers are
reachable. A request counts with the maximum number of tokens it may generate, which is more
than it does generate: at 1.03 a seventh of the chats of a quiet day were refused. The more
is admitted, the less is left after all entries lost their state: at 1.25 a twentieth of a
window."""

SAFE = 0.95
"""Fraction of the platform's tolerance that is ever used; the rest covers what peers use
between two digests."""

LOWER_TIER = 0.04
"""Fraction of each limit that a tier leaves to each higher one, so that an organisation
near its quota loses its chats first."""

MOST_TIERS = 3
"""Number of tiers that `TIER_RESERVE_FRACTION` distinguishes; the users have three."""

AT_ONCE = 0.3
"""Fraction of a window's tokens that may be used at once; the rest is admitted evenly over
the window. This bounds what entries that all lost their state may have admitted just
before, and refuses nothing to an organisation below four times its rate."""

SOONEST_S = 0.25
"""Minimum time after which a caller over its quota is asked to retry, in seconds."""

FIND_S = 0.15
"""How long an entry without state waits for the first digests of the peers it knows by
address, in seconds: they start within some 0.05 s of it and send two digests in this time.
Without the wait 12 and more entries do not know yet how many share a quota, and admitted up
to 1.28 times the hard limit (simulation, 10 times the quota requested)."""

STEP_S = 0.5
"""Length of the time buckets in which usage is counted, in seconds. The current bucket
comes on top of a whole window, so that up to one bucket more than the window is counted."""


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How far a quota may be exceeded.

    Attributes:
        window_s: Length of the sliding window, in seconds.
        over: Fraction of the quota by which it may be exceeded.
        slack: Tokens by which it may be exceeded in addition.
    """

    window_s: float = 8.0
    over: float = 0.0
    slack: float = 0.0

    def owed(self, organisation: Organisation) -> float:
        """Return the number of tokens that the organisation may use in one window."""
        return organisation.rate * self.window_s + organisation.burst

    def most(self, organisation: Organisation) -> float:
        """Return the number of tokens in one window that must not be exceeded."""
        return self.owed(organisation) * (1 + self.over) + self.slack


class Clause(enum.StrEnum):
    """Rule of a quota that refuses a request."""

    WINDOW = "window"
    """The window is full."""

    AT_ONCE = "at once"
    """Too much was used in one part of the window."""

    BOUND = "bound"
    """The window would exceed the hard limit, with usage assumed before a restart."""

    SILENT = "silent peers"
    """The window would exceed the hard limit if silent peers use tokens as well."""


@dataclass(frozen=True, slots=True)
class OverLimit:
    """Refusal of a request by its organisation's quota.

    Attributes:
        clause: Rule that refuses it.
        wait_s: Time after which to retry, in seconds.
        spent: Tokens that all entries used in the window, as far as known here.
        asked: Tokens that the request would use.
        owed: Tokens that the organisation may use in a window.
    """

    clause: Clause
    wait_s: float
    spent: int
    asked: int
    owed: int

    def __str__(self) -> str:
        """Return the rule and the figures that decided."""
        figures = f"used {self.spent} of {self.owed} tokens, requested {self.asked}"
        return f"{self.clause.value}: {figures}"


class _Steps:
    """Token counts in time buckets."""

    __slots__ = ("_amounts",)

    def __init__(self) -> None:
        self._amounts: dict[int, int] = {}

    def add(self, amount: int, now: float) -> None:
        bucket = int(now / STEP_S)
        self._amounts[bucket] = self._amounts.get(bucket, 0) + amount

    def back(self, now: float, period_s: float) -> list[int]:
        """Return the counts of the last buckets, the current one first."""
        current_bucket = int(now / STEP_S)
        count = math.ceil(period_s / STEP_S)
        for bucket in [old for old in self._amounts if old < current_bucket - count]:
            del self._amounts[bucket]
        return [self._amounts.get(current_bucket - index, 0) for index in range(count + 1)]


class SpendTable:
    """Usage of each organisation's quota, by this entry and its peers.

    Args:
        peers: The other entries.
        tolerance: How far quotas may be exceeded.
        started: Monotonic time at which this process started, in seconds.
        has_past: Whether the system was running before this process started.
    """

    def __init__(
        self, peers: PeerTable, tolerance: Tolerance, *, started: float, has_past: bool
    ) -> None:
        self._peers = peers
        self.tolerance = tolerance
        self._own: dict[str, _Steps] = {}
        self._since_start: dict[str, int] = {}
        self._told: dict[str, int] = {}
        self._ended: list[PeerRow] = []
        self._sums: dict[str, int] = {}
        self._summed = -STEP_S
        self._started = started
        self._has_past = has_past

    @property
    def _span(self) -> float:
        return self.tolerance.window_s

    def own(self, now: float) -> dict[str, list[int]]:
        """Return this entry's usage by organisation, in buckets back from now."""
        usage = {name: buckets.back(now, self._span) for name, buckets in self._own.items()}
        trimmed = {name: _trimmed(amounts) for name, amounts in usage.items()}
        return {name: amounts for name, amounts in trimmed.items() if amounts}

    def tell(self, now: float) -> dict[str, list[int]]:
        """Return this entry's usage for a digest to all peers; remember it as reported."""
        self._told = dict(self._since_start)
        return self.own(now)

    def fleet(self, now: float) -> dict[str, int] | None:
        """Return the usage of all entries in the window, at most one bucket old.

        It serves peers that started recently; ``None`` if there are none.
        """
        if not self._peers.has_recently_started:
            return None
        if now - self._summed >= STEP_S:
            self._summed = now
            self._sums = {name: int(self.spent(name, now)) for name in self._names()}
        return self._sums

    def _names(self) -> set[str]:
        names = set(self._own)
        for row in self._peers.rows:
            names.update(row.digest.used)
        return names

    def keep_ended(self, rows: Iterable[PeerRow]) -> None:
        """Keep counting the usage of incarnations that have ended."""
        self._ended.extend(rows)

    def spent(self, name: str, now: float) -> float:
        """Return the number of tokens that all entries used in the window."""
        return max(float(sum(self._steps(name, now))), self._remembered(name, now))

    def _steps(self, name: str, now: float, *, fresh_only: bool = False) -> list[int]:
        """Return the usage by all entries, in buckets back from now.

        Args:
            name: The organisation.
            now: Monotonic time, in seconds.
            fresh_only: Whether to count only this entry and reachable peers.
        """
        self._ended = [row for row in self._ended if now - row.received_at <= self._span]
        own = self._own.get(name)
        empty = [0] * (math.ceil(self._span / STEP_S) + 1)
        total = own.back(now, self._span) if own else empty
        rows = self._peers.fresh(now) if fresh_only else [*self._peers.rows, *self._ended]
        for row in rows:
            _add_told(total, row, name, now)
        return total

    def _untold(self, buckets: list[int], now: float) -> int:
        """Estimate what reachable peers may have used since their last digests.

        Takes the busiest bucket of the window as the rate, since all entries admit and
        refuse at the same moments.
        """
        reachable = self._peers.fresh(now)
        age_s = sum(now - row.received_at for row in reachable) / (len(reachable) + 1)
        return round(max(buckets) / STEP_S * age_s)

    def _unheard(self, name: str, now: float) -> int:
        """Estimate what peers may have used unreported, after all entries lost their state.

        Entries that start together have callers of the same organisation waiting, and each
        sees all that remains of the quota. Every peer is assumed to have used as much as
        this entry, since the peer's last digest or, if none was received yet, since the
        start. Without this 29 simulated entries admitted 1.3 times the hard limit.

        The busiest bucket is no measure of the rate in that case: it holds the whole
        backlog of waiting callers, and 300 entries would admit nothing for 6 of 8 s.
        """
        used = self._since_start.get(name, 0)
        unreported = max(used - self._told.get(name, 0), 0)
        return used * self._peers.never_seen_count + unreported * len(
            self._peers.fresh(now)
        )

    def is_blind(self, now: float) -> bool:
        """Return whether peers that may have started as well have sent no digest yet."""
        if not self._has_lost(now) or now - self._started >= FIND_S:
            return False
        return self._peers.never_seen_count > 0

    def _has_lost(self, now: float) -> bool:
        """Return whether no entry knows what was used in the window before the start."""
        if not self._has_past or now - self._started > self._span:
            return False
        return not any(self._remembers(row.digest) for row in self._peers.rows)

    def _remembered(self, name: str, now: float) -> float:
        """Return what older peers report, while this process is younger than a window."""
        if now - self._started > self._span:
            return 0.0
        reported = (self._old_view(row.digest, name) for row in self._peers.rows)
        return float(max(reported, default=0))

    def _old_view(self, digest: Digest, name: str) -> int:
        return (digest.fleet_used or {}).get(name, 0) if self._remembers(digest) else 0

    def _remembers(self, digest: Digest) -> bool:
        """Return whether a peer has reported the usage of a whole window."""
        return digest.fleet_used is not None and digest.age_s > self._span

    def admit(
        self, organisation: Organisation, tokens: int, now: float, *, tier: int = 0
    ) -> OverLimit | None:
        """Use tokens if the quota allows it.

        Args:
            organisation: Organisation whose quota is used.
            tokens: Number of tokens.
            now: Monotonic time, in seconds.
            tier: The request's tier; 0 is the highest.

        Returns:
            ``None`` if the tokens were used, else the refusal.
        """
        if organisation.rate <= 0:
            return None
        buckets = self._steps(organisation.name, now)
        unreported = self._unheard(organisation.name, now)
        if not self._has_lost(now):
            unreported = self._untold(buckets, now)
        buckets[0] += unreported
        used = max(float(sum(buckets)), self._remembered(organisation.name, now))
        fraction = 1 - LOWER_TIER * min(max(tier, 0), MOST_TIERS - 1)
        rule = self._refuses(organisation, tokens, used, buckets, now, part=fraction)
        if rule is None:
            self._add(organisation.name, tokens, now)
            return None
        quota = self.tolerance.owed(organisation)
        retry_after_s = (used + tokens - quota * AIM) / organisation.rate
        return OverLimit(
            clause=rule,
            wait_s=min(max(retry_after_s, SOONEST_S), self.tolerance.window_s),
            spent=round(used),
            asked=tokens,
            owed=round(quota),
        )

    def refund(self, organisation: Organisation, tokens: int, used_at: float) -> None:
        """Refund the tokens of a request that was not run.

        Args:
            organisation: Organisation whose quota was used.
            tokens: Number of tokens.
            used_at: Monotonic time at which they were used, in seconds. Refunded at a later
                time, they would offset other usage once they have left the window
                themselves: up to 1.03 times the hard limit was admitted in simulations.
        """
        if organisation.rate > 0 and organisation.name in self._own:
            self._add(organisation.name, -tokens, used_at)

    def _add(self, name: str, tokens: int, now: float) -> None:
        self._own.setdefault(name, _Steps()).add(tokens, now)
        self._since_start[name] = self._since_start.get(name, 0) + tokens

    def _refuses(
        self,
        organisation: Organisation,
        tokens: int,
        used: float,
        buckets: list[int],
        now: float,
        *,
        part: float,
    ) -> Clause | None:
        """Return the rule that refuses a request; ``None`` if it is allowed."""
        if not self._is_even(organisation, buckets):
            return Clause.AT_ONCE
        hard_limit = self.tolerance.most(organisation) * SAFE
        hard_limit = (hard_limit - self._unseen_past(organisation, now)) * part
        silent = self._peers.silent(now)
        if silent:
            worst_case = self._if_silent_spend_too(organisation, tokens, used, silent, now)
            return Clause.SILENT if worst_case > hard_limit else None
        # Ignores the size of the request: large ones would be refused more often.
        if used >= self._aim(organisation, self._span) * part:
            return Clause.WINDOW
        return Clause.BOUND if used + tokens > hard_limit else None

    def _if_silent_spend_too(
        self,
        organisation: Organisation,
        tokens: int,
        used: float,
        silent: list[PeerRow],
        now: float,
    ) -> float:
        """Return the usage if silent peers use as much as reachable ones."""
        known = len(self._peers) + 1
        factor = known / (known - len(silent))
        since = min(row.received_at for row in silent)
        recently = self._spent_since(organisation.name, since, now) + tokens
        return used - recently + tokens + recently * factor

    def _aim(self, organisation: Organisation, seconds: float) -> float:
        """Return the number of tokens that may be admitted within part of the window."""
        fraction = AT_ONCE + (1 - AT_ONCE) * min(seconds / self._span, 1.0)
        return self.tolerance.owed(organisation) * AIM * fraction

    def _is_even(self, organisation: Organisation, buckets: list[int]) -> bool:
        """Return whether the usage stays within the burst limit for every recent period."""
        total = 0.0
        for index, amount in enumerate(buckets[:-1]):
            total += amount
            if total > self._aim(organisation, (index + 1) * STEP_S):
                return False
        return True

    def _spent_since(self, name: str, since: float, now: float) -> float:
        """Return what the reachable entries used since a time."""
        count = math.ceil(min(now - since, self._span) / STEP_S) + 1
        return float(sum(self._steps(name, now, fresh_only=True)[:count]))

    def _unseen_past(self, organisation: Organisation, now: float) -> float:
        """Return what may have been used before this process started.

        If all entries were lost, none knows. The maximum that can have been used in the
        rest of the window is then assumed.
        """
        if not self._has_lost(now):
            return 0.0
        return self._aim(organisation, self._span - (now - self._started))


def _trimmed(amounts: list[int]) -> list[int]:
    """Return the amounts without trailing zeros."""
    last = max((index for index, amount in enumerate(amounts) if amount), default=-1)
    return amounts[: last + 1]


def _add_told(total: list[int], row: PeerRow, name: str, now: float) -> None:
    """Add the usage a peer reported, shifted by the time since it was received."""
    shift = int((now - row.received_at) / STEP_S)
    for index, amount in enumerate(row.digest.used.get(name, ())):
        if index + shift >= len(total):
            return
        total[index + shift] += amount
