"""Limits on organisations' tokens, held by all entries together.

Each entry tells the others what it spent in each of the last seconds. What counts against
a limit is the sum over all of them. A peer that falls silent may go on spending unseen.
From then on each side takes only its own part of what was left, so that both together
stay within the bound.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

from .digest import Digest
from .fleet import Organisation
from .peers import PeerRow, PeerTable

AIM = 1.15
"""Part of what is owed in a window up to which requests are let in while all peers are
heard. Requests count for the most tokens that they may make, which is more than they do:
at 1.03 a seventh of the chats of a quiet day were refused. The more is let in, the less is
left after all entries lost their memory: at 1.25 a twentieth of a window."""

SAFE = 0.95
"""Part of what the platform tolerates that is ever used; the rest covers what peers
spend between two digests."""

LOWER_TIER = 0.04
"""Part of each bound that a tier leaves to each higher one, so that an organisation near
its limit loses its chats first."""

MOST_TIERS = 3
"""Tiers that are told apart by `LOWER_TIER`; the users have three."""

AT_ONCE = 0.3
"""Part of a window's tokens that may be spent at once; the rest is let in evenly over the
window. It bounds what entries that all lost their memory may have spent just before, and
refuses nothing to an organisation below four times its rate."""

SOONEST_S = 0.25
"""Least time after which a caller over its limit is told to come back, in seconds."""

FIND_S = 0.15
"""How long an entry that remembers nothing waits to hear the others that are named to it,
in seconds: they start within some 0.05 s of it, and tell twice in this time. Without the
wait 12 entries and more do not know yet how many share a limit: up to 1.28 of the bound
(cores alone, 10 times the limit asked for)."""

STEP_S = 0.5
"""Amounts are kept for steps of this length, in seconds. The current step comes on top of
a whole window, so that up to one step more than the window is counted."""


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How far a limit may be exceeded.

    Attributes:
        window_s: Length of the sliding window, in seconds.
        over: Part of the limit by which it may be exceeded.
        slack: Tokens by which it may be exceeded besides.
    """

    window_s: float = 8.0
    over: float = 0.0
    slack: float = 0.0

    def owed(self, organisation: Organisation) -> float:
        """Return the tokens in one window that the organisation has a right to."""
        return organisation.rate * self.window_s + organisation.burst

    def most(self, organisation: Organisation) -> float:
        """Return the tokens in one window that must not be exceeded."""
        return self.owed(organisation) * (1 + self.over) + self.slack


class Clause(enum.StrEnum):
    """Which part of a limit refuses a request."""

    WINDOW = "window"
    """The window holds what is let in."""

    AT_ONCE = "at once"
    """Too much came in a part of the window."""

    BOUND = "bound"
    """The window would exceed its bound, with what may have been spent in the past."""

    SILENT = "silent peers"
    """The window would exceed its bound if peers that are not heard spend as well."""


@dataclass(frozen=True, slots=True)
class OverLimit:
    """A request that its organisation's limit does not allow now.

    Attributes:
        clause: Which part of the limit refuses it.
        wait_s: Seconds after which to ask again.
        spent: Tokens that all entries spent in the window, as far as known here.
        asked: Tokens that the request would spend.
        owed: Tokens that the organisation has a right to in a window.
    """

    clause: Clause
    wait_s: float
    spent: int
    asked: int
    owed: int

    def __str__(self) -> str:
        """Return the figures that decided."""
        told = f"spent {self.spent} of {self.owed} tokens, asks for {self.asked}"
        return f"{self.clause.value}: {told}"


class _Steps:
    """Amounts in each of the last steps of time."""

    __slots__ = ("_amounts",)

    def __init__(self) -> None:
        self._amounts: dict[int, int] = {}

    def add(self, amount: int, now: float) -> None:
        step = int(now / STEP_S)
        self._amounts[step] = self._amounts.get(step, 0) + amount

    def back(self, now: float, kept_s: float) -> list[int]:
        """Return the amounts in steps back from now, the current one first."""
        current = int(now / STEP_S)
        steps = math.ceil(kept_s / STEP_S)
        for step in [old for old in self._amounts if old < current - steps]:
            del self._amounts[step]
        return [self._amounts.get(current - index, 0) for index in range(steps + 1)]


class SpendTable:
    """What was spent of each organisation's limit, here and elsewhere.

    Args:
        peers: The other entries.
        tolerance: How far limits may be exceeded.
        started: Steady time of the start, in seconds.
        has_past: Whether the system ran before this process started.
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
        """Return this entry's spending, in steps of time back from now."""
        found = {name: row.back(now, self._span) for name, row in self._own.items()}
        trimmed = {name: _trimmed(amounts) for name, amounts in found.items()}
        return {name: amounts for name, amounts in trimmed.items() if amounts}

    def tell(self, now: float) -> dict[str, list[int]]:
        """Return this entry's spending for a digest that goes to all others now."""
        self._told = dict(self._since_start)
        return self.own(now)

    def fleet(self, now: float) -> dict[str, int] | None:
        """Return the spending of all entries in the window, up to a step old.

        It is for those that have started lately; where there are none it is left out.
        """
        if not self._peers.has_young:
            return None
        if now - self._summed >= STEP_S:
            self._summed = now
            self._sums = {name: int(self.spent(name, now)) for name in self._names()}
        return self._sums

    def _names(self) -> set[str]:
        names = set(self._own)
        for row in self._peers.rows:
            names.update(row.digest.spent)
        return names

    def keep_ended(self, rows: Iterable[PeerRow]) -> None:
        """Go on counting what incarnations spent that have ended."""
        self._ended.extend(rows)

    def spent(self, name: str, now: float) -> float:
        """Return the tokens that all entries spent in the window."""
        return max(float(sum(self._steps(name, now))), self._remembered(name, now))

    def _steps(self, name: str, now: float, *, fresh_only: bool = False) -> list[int]:
        """Return what all entries spent, in steps back from now.

        Args:
            name: The organisation.
            now: Steady time, in seconds.
            fresh_only: Whether to count only this entry and peers that are heard.
        """
        self._ended = [row for row in self._ended if now - row.heard <= self._span]
        own = self._own.get(name)
        empty = [0] * (math.ceil(self._span / STEP_S) + 1)
        total = own.back(now, self._span) if own else empty
        rows = self._peers.fresh(now) if fresh_only else [*self._peers.rows, *self._ended]
        for row in rows:
            _add_told(total, row, name, now)
        return total

    def _untold(self, steps: list[int], now: float) -> int:
        """Return what peers that are heard may have spent since they told.

        The busiest step of the window is taken for the pace, since all entries let in and
        refuse at the same moments.
        """
        fresh = self._peers.fresh(now)
        age_s = sum(now - row.heard for row in fresh) / (len(fresh) + 1)
        return round(max(steps) / STEP_S * age_s)

    def _unheard(self, name: str, now: float) -> int:
        """Return what others may have spent unheard, where all memory was lost.

        Entries that start together have callers of the same organisation waiting, and each
        sees the whole rest of its limit. Each of the others is taken to have spent as much
        as this one, since its last digest or, where it is known by name only, since the
        start. Cores alone, 29 entries else let in 1.3 times the bound.

        The busiest step tells no pace then: it holds all who had waited, and 300 entries
        would let in nothing for 6 of 8 s.
        """
        own = self._since_start.get(name, 0)
        untold = max(own - self._told.get(name, 0), 0)
        return own * self._peers.unheard + untold * len(self._peers.fresh(now))

    def is_blind(self, now: float) -> bool:
        """Return whether others that may have started as well are still to be heard."""
        if not self._has_lost(now) or now - self._started >= FIND_S:
            return False
        return self._peers.unheard > 0

    def _has_lost(self, now: float) -> bool:
        """Return whether nobody knows what was spent in the window before the start."""
        if not self._has_past or now - self._started > self._span:
            return False
        return not any(self._remembers(row.digest) for row in self._peers.rows)

    def _remembered(self, name: str, now: float) -> float:
        """Return what older peers remember, while this process is younger than a window."""
        if now - self._started > self._span:
            return 0.0
        told = (self._old_view(row.digest, name) for row in self._peers.rows)
        return float(max(told, default=0))

    def _old_view(self, digest: Digest, name: str) -> int:
        return (digest.fleet_spent or {}).get(name, 0) if self._remembers(digest) else 0

    def _remembers(self, digest: Digest) -> bool:
        """Return whether a peer has told what was spent in a whole window."""
        return digest.fleet_spent is not None and digest.age_s > self._span

    def admit(
        self, organisation: Organisation, tokens: int, now: float, *, tier: int = 0
    ) -> OverLimit | None:
        """Spend tokens if the limit allows it.

        Args:
            organisation: Whose tokens.
            tokens: How many.
            now: Steady time, in seconds.
            tier: The request's tier; 0 is the highest.

        Returns:
            ``None`` if they are spent, else why not.
        """
        if organisation.rate <= 0:
            return None
        steps = self._steps(organisation.name, now)
        unseen = self._unheard(organisation.name, now)
        if not self._has_lost(now):
            unseen = self._untold(steps, now)
        steps[0] += unseen
        spent = max(float(sum(steps)), self._remembered(organisation.name, now))
        part = 1 - LOWER_TIER * min(max(tier, 0), MOST_TIERS - 1)
        clause = self._refuses(organisation, tokens, spent, steps, now, part=part)
        if clause is None:
            self._add(organisation.name, tokens, now)
            return None
        owed = self.tolerance.owed(organisation)
        wait_s = (spent + tokens - owed * AIM) / organisation.rate
        return OverLimit(
            clause=clause,
            wait_s=min(max(wait_s, SOONEST_S), self.tolerance.window_s),
            spent=round(spent),
            asked=tokens,
            owed=round(owed),
        )

    def refund(self, organisation: Organisation, tokens: int, spent: float) -> None:
        """Give back what a request did not use, because it was not run.

        Args:
            organisation: Whose tokens.
            tokens: How many.
            spent: Steady time at which they were spent, in seconds. Given back at a later
                time they would count against what others spend, once they have left the
                window themselves: up to 1.03 of the bound (cores alone).
        """
        if organisation.rate > 0 and organisation.name in self._own:
            self._add(organisation.name, -tokens, spent)

    def _add(self, name: str, tokens: int, now: float) -> None:
        self._own.setdefault(name, _Steps()).add(tokens, now)
        self._since_start[name] = self._since_start.get(name, 0) + tokens

    def _refuses(
        self,
        organisation: Organisation,
        tokens: int,
        spent: float,
        steps: list[int],
        now: float,
        *,
        part: float,
    ) -> Clause | None:
        """Return which part of the limit a request exceeds; ``None`` if it is allowed."""
        if not self._is_even(organisation, steps):
            return Clause.AT_ONCE
        most = self.tolerance.most(organisation) * SAFE
        most = (most - self._unseen_past(organisation, now)) * part
        silent = self._peers.silent(now)
        if silent:
            apart = self._if_silent_spend_too(organisation, tokens, spent, silent, now)
            return Clause.SILENT if apart > most else None
        # The request's own size is left out: large ones would be refused more often.
        if spent >= self._aim(organisation, self._span) * part:
            return Clause.WINDOW
        return Clause.BOUND if spent + tokens > most else None

    def _if_silent_spend_too(
        self,
        organisation: Organisation,
        tokens: int,
        spent: float,
        silent: list[PeerRow],
        now: float,
    ) -> float:
        """Return what is spent if silent peers spend as those in reach do."""
        known = len(self._peers) + 1
        factor = known / (known - len(silent))
        since = min(row.heard for row in silent)
        lately = self._spent_since(organisation.name, since, now) + tokens
        return spent - lately + tokens + lately * factor

    def _aim(self, organisation: Organisation, seconds: float) -> float:
        """Return the tokens that are let in within a part of the window."""
        part = AT_ONCE + (1 - AT_ONCE) * min(seconds / self._span, 1.0)
        return self.tolerance.owed(organisation) * AIM * part

    def _is_even(self, organisation: Organisation, steps: list[int]) -> bool:
        """Return whether each end of the window holds no more than its part."""
        total = 0.0
        for index, amount in enumerate(steps[:-1]):
            total += amount
            if total > self._aim(organisation, (index + 1) * STEP_S):
                return False
        return True

    def _spent_since(self, name: str, since: float, now: float) -> float:
        """Return what the entries in reach spent since a time."""
        steps = math.ceil(min(now - since, self._span) / STEP_S) + 1
        return float(sum(self._steps(name, now, fresh_only=True)[:steps]))

    def _unseen_past(self, organisation: Organisation, now: float) -> float:
        """Return what may have been spent before this process started.

        After a loss of all entries nobody remembers. The most that can have been spent in
        what is left of the window is then assumed.
        """
        if not self._has_lost(now):
            return 0.0
        return self._aim(organisation, self._span - (now - self._started))


def _trimmed(amounts: list[int]) -> list[int]:
    """Return amounts without the zeros at their end."""
    last = max((index for index, amount in enumerate(amounts) if amount), default=-1)
    return amounts[: last + 1]


def _add_told(total: list[int], row: PeerRow, name: str, now: float) -> None:
    """Add what a peer told, moved back by the time that has passed since."""
    passed = int((now - row.heard) / STEP_S)
    for index, amount in enumerate(row.digest.spent.get(name, ())):
        if index + passed >= len(total):
            return
        total[index + passed] += amount
