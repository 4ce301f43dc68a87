"""Token quotas of organisations, enforced by all entries together.

Each entry reports to the others how many tokens it let its callers use in each of the last
seconds; the sum over all entries counts against the quota. A peer that falls silent may
still admit requests without being seen. From then on each side uses only its own share of
what was left, so that both together stay within the hard limit.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from .digest import Digest
from .peers import PeerRow, PeerTable
from .routing_config import Organisation

HARD_LIMIT_FRACTION = 0.95
"""Fraction of the platform's tolerance that is ever used; the rest covers what peers use
between two digests."""

TIER_RESERVE_FRACTION = 0.04
"""Fraction of each limit that a tier leaves to each higher one, so that an organisation
near its quota loses its chats first."""

MAX_TIERS = 3
"""Number of tiers that `TIER_RESERVE_FRACTION` distinguishes; the users have three."""

BURST_FRACTION = 0.3
"""Fraction of a window's tokens that may be used at once; the rest is admitted evenly over
the window. This bounds what entries that all lost their state may have admitted just
before, and refuses nothing to an organisation below four times its rate."""

MIN_RETRY_AFTER_S = 0.25
"""Minimum time after which a caller over its quota is asked to retry, in seconds."""

PROMISE_GRACE_S = 0.5
"""Time after which promised tokens that were not used are free again, in seconds: the
caller's next attempt takes a moment to arrive."""

DISCOVERY_S = 0.15
"""How long an entry without state waits for the first digests of the peers it knows by
address, in seconds: they start within some 0.05 s of it and send two digests in this time.
Without the wait 12 and more entries do not know yet how many share a quota, and admitted up
to 1.28 times the hard limit (simulation, 10 times the quota requested)."""

BUCKET_S = 0.5
"""Length of the time buckets in which usage is counted, in seconds. The current bucket
comes on top of a whole window, so that up to one bucket more than the window is counted."""


def admit_factor(window_s: float) -> float:
    """Return the multiple of a quota up to which requests are admitted.

    Requests of the lowest tier are admitted up to the quota itself, although each tier
    leaves a part to higher ones, and up to one bucket more than the window is counted.

    Args:
        window_s: Length of the quota's window, in seconds.
    """
    lowest_tier_fraction = 1 - TIER_RESERVE_FRACTION * (MAX_TIERS - 1)
    return (1 + BUCKET_S / window_s) / lowest_tier_fraction


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How far a quota may be exceeded.

    Attributes:
        window_s: Length of the sliding window, in seconds.
        excess_fraction: Fraction of the quota by which it may be exceeded.
        slack_tokens: Tokens by which it may be exceeded in addition.
    """

    window_s: float = 8.0
    excess_fraction: float = 0.0
    slack_tokens: float = 0.0

    def quota(self, organisation: Organisation) -> float:
        """Return the number of tokens that the organisation may use in one window."""
        return organisation.rate * self.window_s + organisation.burst

    def hard_limit(self, organisation: Organisation) -> float:
        """Return the number of tokens in one window that must not be exceeded."""
        return self.quota(organisation) * (1 + self.excess_fraction) + self.slack_tokens


class LimitRule(enum.StrEnum):
    """Rule of a quota that refuses a request."""

    WINDOW = "window"
    """The window is full."""

    BURST = "at once"
    """Too much was used in one part of the window."""

    HARD_LIMIT = "bound"
    """The window would exceed the hard limit, with usage assumed before a restart."""

    SILENT_PEERS = "silent peers"
    """The window would exceed the hard limit if silent peers use tokens as well."""

    UNHEARD_PEERS = "unheard peers"
    """The window would exceed the hard limit if peers of which nothing was heard, though
    the settings name them, use as much as this entry."""


@dataclass(frozen=True, slots=True)
class QuotaExceeded:
    """Refusal of a request by its organisation's quota.

    Attributes:
        rule: Rule that refuses it.
        retry_after_s: Time after which to retry, in seconds.
        used: Tokens that all entries used in the window, as far as known here.
        requested: Tokens that the request would use.
        quota: Tokens that the organisation may use in a window.
    """

    rule: LimitRule
    retry_after_s: float
    used: int
    requested: int
    quota: int

    def __str__(self) -> str:
        """Return the rule and the figures that decided."""
        figures = f"used {self.used} of {self.quota} tokens, requested {self.requested}"
        return f"{self.rule.value}: {figures}"


class _UsageBuckets:
    """Token counts in time buckets."""

    __slots__ = ("_amounts",)

    def __init__(self) -> None:
        self._amounts: dict[int, int] = {}

    def add(self, amount: int, now: float) -> None:
        bucket = int(now / BUCKET_S)
        self._amounts[bucket] = self._amounts.get(bucket, 0) + amount

    def recent(self, now: float, period_s: float) -> list[int]:
        """Return the counts of the last buckets, the current one first."""
        current_bucket = int(now / BUCKET_S)
        count = math.ceil(period_s / BUCKET_S)
        for bucket in [old for old in self._amounts if old < current_bucket - count]:
            del self._amounts[bucket]
        return [self._amounts.get(current_bucket - index, 0) for index in range(count + 1)]


class _PromisedTokens:
    """Tokens that were promised to refused callers of one organisation.

    Several callers may be given the same time, but each tokens of its own.
    """

    __slots__ = ("_promises", "_total")

    def __init__(self) -> None:
        self._promises: deque[tuple[float, int]] = deque()
        self._total = 0

    def total(self, now: float) -> int:
        """Return the tokens of the promises that may still be used."""
        while self._promises and self._promises[0][0] + PROMISE_GRACE_S < now:
            self._total -= self._promises.popleft()[1]
        return self._total

    def add(self, at: float, tokens: int) -> None:
        """Add a promise, merged with others of its time; the times never fall."""
        if tokens <= 0:
            return
        self._total += tokens
        latest, before = self._promises[-1] if self._promises else (-math.inf, 0)
        if at > latest:
            self._promises.append((at, tokens))
        else:
            self._promises[-1] = (latest, before + tokens)


class QuotaTable:
    """Usage of each organisation's quota, by this entry and its peers.

    Args:
        peers: The other entries.
        tolerance: How far quotas may be exceeded.
        started_at: Monotonic time at which this process started, in seconds.
        has_predecessor: Whether the system was running before this process started.
    """

    def __init__(
        self,
        peers: PeerTable,
        tolerance: QuotaTolerance,
        *,
        started_at: float,
        has_predecessor: bool,
    ) -> None:
        self._peers = peers
        self.tolerance = tolerance
        self._promised: dict[str, _PromisedTokens] = {}
        self._own_usage: dict[str, _UsageBuckets] = {}
        self._used_since_start: dict[str, int] = {}
        self._reported: dict[str, int] = {}
        self._ended_peers: list[PeerRow] = []
        self._totals: dict[str, int] = {}
        self._totals_at = -BUCKET_S
        self._started_at = started_at
        self._has_predecessor = has_predecessor

    @property
    def _window_s(self) -> float:
        return self.tolerance.window_s

    def own_usage(self, now: float) -> dict[str, list[int]]:
        """Return this entry's usage by organisation, in buckets back from now."""
        usage = {
            name: buckets.recent(now, self._window_s)
            for name, buckets in self._own_usage.items()
        }
        trimmed = {
            name: _without_trailing_zeros(amounts) for name, amounts in usage.items()
        }
        return {name: amounts for name, amounts in trimmed.items() if amounts}

    @staticmethod
    def current_bucket(now: float) -> int:
        """Return the number of the current time bucket of usage."""
        return int(now / BUCKET_S)

    def report(self, now: float) -> dict[str, list[int]]:
        """Return this entry's usage for a digest to all peers; remember it as reported."""
        self._reported = dict(self._used_since_start)
        return self.own_usage(now)

    def total_usage(self, now: float) -> dict[str, int] | None:
        """Return the usage of all entries in the window, at most one bucket old.

        It serves peers that started recently; ``None`` if there are none.
        """
        if not self._peers.has_recently_started:
            return None
        if now - self._totals_at >= BUCKET_S:
            self._totals_at = now
            self._totals = {
                name: int(self.used(name, now)) for name in self._organisation_names()
            }
        return self._totals

    def _organisation_names(self) -> set[str]:
        names = set(self._own_usage)
        for row in self._peers.rows:
            names.update(row.digest.used)
        return names

    def keep_ended_peers(self, rows: Iterable[PeerRow]) -> None:
        """Keep counting the usage of incarnations that have ended."""
        self._ended_peers.extend(rows)

    def used(self, name: str, now: float) -> float:
        """Return the number of tokens that all entries used in the window."""
        return max(
            float(sum(self._usage_buckets(name, now))),
            self._used_as_older_peers_report(name, now),
        )

    def _usage_buckets(
        self, name: str, now: float, *, fresh_only: bool = False
    ) -> list[int]:
        """Return the usage by all entries, in buckets back from now.

        Args:
            name: The organisation.
            now: Monotonic time, in seconds.
            fresh_only: Whether to count only this entry and reachable peers.
        """
        self._ended_peers = [
            row for row in self._ended_peers if now - row.sent_before <= self._window_s
        ]
        own = self._own_usage.get(name)
        empty = [0] * (math.ceil(self._window_s / BUCKET_S) + 1)
        total = own.recent(now, self._window_s) if own else empty
        rows = (
            self._peers.fresh(now)
            if fresh_only
            else [*self._peers.rows, *self._ended_peers]
        )
        for row in rows:
            _add_reported(total, row, name, now)
        return total

    def _estimate_unreported(self, buckets: list[int], now: float) -> int:
        """Estimate what reachable peers may have used since their last digests.

        Takes the busiest bucket of the window as the rate, since all entries admit and
        refuse at the same moments.
        """
        reachable = self._peers.fresh(now)
        age_s = sum(now - row.received_at for row in reachable) / (len(reachable) + 1)
        return round(max(buckets) / BUCKET_S * age_s)

    def _estimate_after_state_loss(self, name: str, now: float) -> int:
        """Estimate usage that peers have not reported, after all entries lost their state.

        Entries that start together have callers of the same organisation waiting, and each
        sees all that remains of the quota. Every peer is assumed to have used as much as
        this entry, since the peer's last digest or, if none was received yet, since the
        start. Without this 29 simulated entries admitted 1.3 times the hard limit.

        The busiest bucket is no measure of the rate in that case: it holds the whole
        backlog of waiting callers, and 300 entries would admit nothing for 6 of 8 s.
        """
        used = self._used_since_start.get(name, 0)
        unreported = max(used - self._reported.get(name, 0), 0)
        return used * self._peers.never_seen_count + unreported * len(
            self._peers.fresh(now)
        )

    def is_discovering_peers(self, now: float) -> bool:
        """Return whether peers that may have just started have sent no digest yet."""
        if not self._has_lost_state(now) or now - self._started_at >= DISCOVERY_S:
            return False
        return self._peers.never_seen_count > 0

    def _has_lost_state(self, now: float) -> bool:
        """Return whether no entry knows what was used in the window before the start."""
        if not self._has_predecessor or now - self._started_at > self._window_s:
            return False
        return not any(self._covers_window(row.digest) for row in self._peers.rows)

    def _used_as_older_peers_report(self, name: str, now: float) -> float:
        """Return what older peers report, while this process is younger than a window."""
        if now - self._started_at > self._window_s:
            return 0.0
        reported = (self._older_peer_view(row.digest, name) for row in self._peers.rows)
        return float(max(reported, default=0))

    def _older_peer_view(self, digest: Digest, name: str) -> int:
        return (digest.fleet_used or {}).get(name, 0) if self._covers_window(digest) else 0

    def _covers_window(self, digest: Digest) -> bool:
        """Return whether a peer has reported the usage of a whole window."""
        return digest.fleet_used is not None and digest.age_s > self._window_s

    def admit(
        self,
        organisation: Organisation,
        tokens: int,
        now: float,
        *,
        tier: int = 0,
        max_retry_after_s: float = math.inf,
    ) -> QuotaExceeded | None:
        """Use tokens if the quota allows it.

        Args:
            organisation: Organisation whose quota is used.
            tokens: Number of tokens.
            now: Monotonic time, in seconds.
            tier: The request's tier; 0 is the highest.
            max_retry_after_s: Up to when the caller honours Retry-After, in seconds.

        Returns:
            ``None`` if the tokens were used, else the refusal.
        """
        if organisation.rate <= 0:
            return None
        buckets = self._usage_buckets(organisation.name, now)
        unreported = self._estimate_after_state_loss(organisation.name, now)
        if not self._has_lost_state(now):
            unreported = self._estimate_unreported(buckets, now)
        buckets[0] += unreported
        used = max(
            float(sum(buckets)), self._used_as_older_peers_report(organisation.name, now)
        )
        fraction = 1 - TIER_RESERVE_FRACTION * min(max(tier, 0), MAX_TIERS - 1)
        rule = self._exceeded_rule(
            organisation, tokens, used, buckets, now, fraction=fraction
        )
        if rule is None:
            self._record_usage(organisation.name, tokens, now)
            return None
        quota = self.tolerance.quota(organisation)
        retry_after_s = self._promise(
            organisation, tokens, buckets, used, now, fraction, max_retry_after_s
        )
        return QuotaExceeded(
            rule=rule,
            retry_after_s=retry_after_s,
            used=round(used),
            requested=tokens,
            quota=round(quota),
        )

    def _promise(  # noqa: PLR0913
        self,
        organisation: Organisation,
        tokens: int,
        buckets: list[int],
        used: float,
        now: float,
        fraction: float,
        max_retry_after_s: float,
    ) -> float:
        """Return when the window has room for a request; promise it if the caller waits.

        Each entry promises its own share, an equal one, of the tokens that leave the
        window, so that no two callers are promised the same tokens.

        Args:
            organisation: Organisation whose quota is exceeded.
            tokens: Number of tokens of the request.
            buckets: Usage by all entries, in buckets back from now.
            used: Tokens used in the window, which may exceed the sum of the buckets.
            now: Monotonic time, in seconds.
            fraction: Fraction of the limit that the request's tier may use.
            max_retry_after_s: Up to when the caller honours Retry-After, in seconds.

        Returns:
            The time in seconds, at most the length of the window. Without a promise it is
            the time of room for this request alone, and no later than the caller honours.
        """
        promised = self._promised.setdefault(organisation.name, _PromisedTokens())
        needed = (promised.total(now) + tokens) * (len(self._peers) + 1)
        limit = min(
            self._admit_limit(organisation, self._window_s),
            self._own_hard_limit(organisation, now),
        )
        room = limit * fraction - used
        longest_s = max(min(max_retry_after_s, self._window_s), MIN_RETRY_AFTER_S)
        expected_s = longest_s
        # The buckets leave the window from the oldest on.
        for left in range(1, len(buckets) + 1):
            room += buckets[-left]
            wait_s = max(left * BUCKET_S - now % BUCKET_S, MIN_RETRY_AFTER_S)
            if wait_s > longest_s:
                break
            later = [0] * left + buckets[: len(buckets) - left]
            if room < tokens or not self._is_within_burst(organisation, later):
                continue
            expected_s = min(expected_s, wait_s)
            if room >= needed:
                promised.add(now + wait_s, tokens)
                return wait_s
        return expected_s

    def refund(self, organisation: Organisation, tokens: int, used_at: float) -> None:
        """Refund the tokens of a request that was not run.

        Args:
            organisation: Organisation whose quota was used.
            tokens: Number of tokens.
            used_at: Monotonic time at which they were used, in seconds. Refunded at a later
                time, they would offset other usage once they have left the window
                themselves: up to 1.03 times the hard limit was admitted in simulations.
        """
        if organisation.rate > 0 and organisation.name in self._own_usage:
            self._record_usage(organisation.name, -tokens, used_at)

    def _record_usage(self, name: str, tokens: int, now: float) -> None:
        self._own_usage.setdefault(name, _UsageBuckets()).add(tokens, now)
        self._used_since_start[name] = self._used_since_start.get(name, 0) + tokens

    def _exceeded_rule(
        self,
        organisation: Organisation,
        tokens: int,
        used: float,
        buckets: list[int],
        now: float,
        *,
        fraction: float,
    ) -> LimitRule | None:
        """Return the rule that refuses a request; ``None`` if it is allowed."""
        if not self._is_within_burst(organisation, buckets):
            return LimitRule.BURST
        hard_limit = self._own_hard_limit(organisation, now) * fraction
        silent = self._peers.silent(now)
        if silent:
            worst_case = self._usage_with_silent_peers(
                organisation, tokens, used, silent, now
            )
            return LimitRule.SILENT_PEERS if worst_case > hard_limit else None
        # Ignores the size of the request: large ones would be refused more often.
        if used >= self._admit_limit(organisation, self._window_s) * fraction:
            return LimitRule.WINDOW
        if used + tokens <= hard_limit:
            return None
        is_shared = self._allowed_peers(now) > 0
        return LimitRule.UNHEARD_PEERS if is_shared else LimitRule.HARD_LIMIT

    def _own_hard_limit(self, organisation: Organisation, now: float) -> float:
        """Return the tokens in one window that are left to the entries that are heard.

        It is the hard limit without what may have been used before the start, and without
        equal shares of peers that were never heard.
        """
        hard_limit = self.tolerance.hard_limit(organisation) * HARD_LIMIT_FRACTION
        left = hard_limit - self._assumed_predecessor_usage(organisation, now)
        return left / (1 + self._allowed_peers(now))

    def _allowed_peers(self, now: float) -> int:
        """Return how many peers that were never heard have a share of the hard limit.

        After a loss of state `_estimate_after_state_loss` counts their usage instead.
        """
        return 0 if self._has_lost_state(now) else self._peers.unheard_count

    def _usage_with_silent_peers(
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
        recent_usage = self._used_since(organisation.name, since, now) + tokens
        return used - recent_usage + tokens + recent_usage * factor

    def _admit_limit(self, organisation: Organisation, seconds: float) -> float:
        """Return the number of tokens that may be admitted within a number of seconds."""
        fraction = BURST_FRACTION + (1 - BURST_FRACTION) * min(
            seconds / self._window_s, 1.0
        )
        quota = self.tolerance.quota(organisation)
        return quota * admit_factor(self._window_s) * fraction

    def _is_within_burst(self, organisation: Organisation, buckets: list[int]) -> bool:
        """Return whether the usage stays within the burst limit for every recent period."""
        total = 0.0
        for index, amount in enumerate(buckets[:-1]):
            total += amount
            if total > self._admit_limit(organisation, (index + 1) * BUCKET_S):
                return False
        return True

    def _used_since(self, name: str, since: float, now: float) -> float:
        """Return what the reachable entries used since a time."""
        count = math.ceil(min(now - since, self._window_s) / BUCKET_S) + 1
        return float(sum(self._usage_buckets(name, now, fresh_only=True)[:count]))

    def _assumed_predecessor_usage(self, organisation: Organisation, now: float) -> float:
        """Return what may have been used before this process started.

        If all entries were lost, this is unknown. The maximum that can have been used in
        the rest of the window is then assumed.
        """
        if not self._has_lost_state(now):
            return 0.0
        return self._admit_limit(organisation, self._window_s - (now - self._started_at))


def _without_trailing_zeros(amounts: list[int]) -> list[int]:
    """Return the amounts without trailing zeros."""
    last = max((index for index, amount in enumerate(amounts) if amount), default=-1)
    return amounts[: last + 1]


def _add_reported(total: list[int], row: PeerRow, name: str, now: float) -> None:
    """Add the usage a peer reported, shifted by the least time since it was sent."""
    shift = int((now - row.sent_before) / BUCKET_S)
    for index, amount in enumerate(row.digest.used.get(name, ())):
        if index + shift >= len(total):
            return
        total[index + shift] += amount
