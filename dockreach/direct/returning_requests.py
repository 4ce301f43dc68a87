"""Recognises requests that were refused before and that their callers send again.

Load pattern: more requests than capacity for some seconds, so that many are refused. Each
refused caller sends its request again once, at another entry and under a new id. Callers
wait for different times, so that the remaining deadline alone does not show a retry; but
path, organisation and body stay the same, and so does the moment at which the caller gives
up.
"""

from __future__ import annotations

import itertools
import math
from collections import OrderedDict, deque
from dataclasses import dataclass

from .digest import Address
from .jobs import Job, RetryKind
from .slot_messages import RefusalReport

MAX_REFUSALS = 4096
"""Number of refusals that an entry keeps: those of some seconds in which all entries
together refuse a thousand requests per second. The oldest are dropped first."""

DEADLINE_TOLERANCE_S = 0.25
"""Largest difference between the deadlines of a refused request and of its retry, in
seconds. Network delays and rounding stay below it; two callers that send the same body
mostly differ by more."""

RETENTION_S = 4.0
"""For how long a refusal is repeated to a coordinator that has not replied yet, in seconds:
the longest Retry-After that callers honour. A refusal of a caller that sent no deadline is
kept for as long after the time of its retry."""

QUICK_REFUSAL_FRACTION = 0.25
"""Fraction of its objective within which a request has to be refused for its retry to count
from the new attempt."""

MAX_REPORTS = 128
"""Number of refusals in one state; the others go with the next ones. These are some 9 KB of
a datagram that may hold 65 KB."""

MAX_SAME_BODY = 32
"""Number of refusals of one fingerprint that are kept; the latest ones are. Each request
with this fingerprint is compared with all of them."""


@dataclass(slots=True)
class PastRefusal:
    """A request that was refused. Times are monotonic, in seconds.

    Attributes:
        number: Number of the refusal at this entry, rising.
        service: Service of the request.
        fingerprint: The same for each attempt of the request.
        caller_deadline: Time at which the caller gives up; infinite if it sent none.
        first_attempt_at: Time of the caller's first attempt.
        held_s: Time from the first attempt to the refusal, in seconds.
        retry_at: Time given in Retry-After.
        is_promised: Whether a slot is expected for the retry at that time.
        rank: Order of the request among waiting jobs; empty if it is not known.
        rid: Names the refused attempt; a report is named by its sender and number.
        coordinator: The entry that decided; ``None`` if it was this one, or if another
            entry reported it.
        retry_rid: Id of the retry that was matched; empty if there was none so far.
        is_redeemed: Whether its promise was used.
    """

    number: int
    service: str
    fingerprint: bytes
    caller_deadline: float
    first_attempt_at: float
    held_s: float
    retry_at: float
    is_promised: bool
    rank: tuple[int, ...]
    rid: str = ""
    coordinator: Address | None = None
    retry_rid: str = ""
    is_redeemed: bool = False

    @property
    def refused_at(self) -> float:
        """Time of the refusal."""
        return self.first_attempt_at + self.held_s

    @property
    def expires_at(self) -> float:
        """Time from which no retry is expected any more."""
        if math.isfinite(self.caller_deadline):
            return self.caller_deadline
        return self.retry_at + RETENTION_S

    def report(self, now: float) -> RefusalReport:
        """Return what a coordinator needs to know of it."""
        return RefusalReport(
            fingerprint=self.fingerprint,
            caller_time_left_s=self.caller_deadline - now,
            first_attempt_age_s=now - self.first_attempt_at,
            retry_in_s=self.retry_at - now,
            is_promised=self.is_promised,
            held_s=self.held_s,
            rank=self.rank,
            number=self.number,
        )


class ReturningRequests:
    """The refusals that an entry knows, and the retries that were matched with them."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._refusals: OrderedDict[int, PastRefusal] = OrderedDict()
        self._by_fingerprint: dict[bytes, list[PastRefusal]] = {}
        self._own: deque[PastRefusal] = deque(maxlen=MAX_REFUSALS)
        self._last_decided_here: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._refusals)

    def remember(  # noqa: PLR0913
        self,
        job: Job,
        retry_after_s: float,
        now: float,
        *,
        is_promised: bool = False,
        is_own: bool = True,
        coordinator: Address | None = None,
    ) -> None:
        """Remember that a request was refused.

        Args:
            job: The request.
            retry_after_s: Time that the refusal gives, in seconds.
            now: Monotonic time, in seconds.
            is_promised: Whether a slot is expected for the retry at that time.
            is_own: Whether the caller is one of this entry.
            coordinator: The entry that decided; ``None`` if it was this one.
        """
        if not job.retry_key or self._knows_attempt(job.retry_key, job.rid):
            return
        refusal = PastRefusal(
            number=next(self._numbers),
            service=job.service,
            fingerprint=job.retry_key,
            caller_deadline=job.caller_deadline,
            first_attempt_at=job.first_attempt_at,
            held_s=max(now - job.first_attempt_at, 0.0),
            retry_at=now + retry_after_s,
            is_promised=is_promised,
            rank=job.rank,
            rid=job.rid,
            coordinator=coordinator,
        )
        self._add(refusal, now)
        if is_own:
            self._remember_own(refusal, now)

    def merge(
        self, service: str, report: RefusalReport, reporter: str, now: float
    ) -> PastRefusal | None:
        """Take over a refusal that another entry reports.

        Args:
            service: The service.
            report: The refusal.
            reporter: Names the reporting entry and its incarnation.
            now: Monotonic time, in seconds.

        Returns:
            The refusal; ``None`` if it was known already or is no longer needed.
        """
        refusal = PastRefusal(
            number=next(self._numbers),
            service=service,
            fingerprint=report.fingerprint,
            caller_deadline=now + report.caller_time_left_s,
            first_attempt_at=now - report.first_attempt_age_s,
            # It was refused before it was reported.
            held_s=min(report.held_s, max(report.first_attempt_age_s, 0.0)),
            retry_at=now + report.retry_in_s,
            is_promised=report.is_promised,
            rank=report.rank,
            rid=f"{reporter}/{report.number}",
        )
        if not report.fingerprint or now >= refusal.expires_at:
            return None
        if self._knows_attempt(refusal.fingerprint, refusal.rid):
            return None
        self._add(refusal, now)
        return refusal

    def match(self, job: Job, now: float) -> PastRefusal | None:
        """Return the refusal of which a job is the retry; ``None`` if there is none.

        One refusal is matched by one retry. The same attempt matches it again, as it does
        if it declines a slot and waits for another one.
        """
        if not job.retry_key:
            return None
        candidates = [
            refusal
            for refusal in self._by_fingerprint.get(job.retry_key, ())
            if refusal.retry_rid in ("", job.rid)
            and refusal.rid != job.rid
            and now < refusal.expires_at
            and refusal.refused_at <= job.arrived_at + DEADLINE_TOLERANCE_S
            and _deadline_difference_s(refusal, job.caller_deadline) <= DEADLINE_TOLERANCE_S
        ]
        if not candidates:
            return None
        refusal = min(
            candidates,
            key=lambda known: (
                known.retry_rid != job.rid,
                _deadline_difference_s(known, job.caller_deadline),
            ),
        )
        refusal.retry_rid = job.rid
        return refusal

    def reports(
        self, service: str, after: int, coordinator: Address, now: float
    ) -> tuple[list[RefusalReport], int]:
        """Return the refusals to report to a coordinator, the oldest first.

        These are the refusals that callers of this entry received and that the coordinator
        did not decide itself.

        Args:
            service: The service.
            after: Number of the last refusal that the coordinator knows.
            coordinator: The coordinator.
            now: Monotonic time, in seconds.

        Returns:
            The reports, and the number of the last refusal that was considered: the newest
            one, unless there are more than `MAX_REPORTS`.
        """
        reports: list[RefusalReport] = []
        newest = max(after, self._own[-1].number) if self._own else after
        last = after
        newer = itertools.takewhile(lambda one: one.number > after, reversed(self._own))
        for refusal in reversed(list(newer)):
            if refusal.service != service:
                continue
            if len(reports) == MAX_REPORTS:
                return reports, last
            last = refusal.number
            is_recent = now - refusal.refused_at <= RETENTION_S
            if is_recent and refusal.coordinator != coordinator:
                reports.append(refusal.report(now))
        return reports, newest

    def last_decided_here(self, service: str) -> int:
        """Return the number of the last refusal that this entry decided; 0 if none."""
        return self._last_decided_here.get(service, 0)

    def _knows_attempt(self, fingerprint: bytes, rid: str) -> bool:
        known = self._by_fingerprint.get(fingerprint, ())
        return bool(rid) and any(refusal.rid == rid for refusal in known)

    def _add(self, refusal: PastRefusal, now: float) -> None:
        self._refusals[refusal.number] = refusal
        same = self._by_fingerprint.setdefault(refusal.fingerprint, [])
        same.append(refusal)
        if len(same) > MAX_SAME_BODY:
            del self._refusals[same.pop(0).number]
        while len(self._refusals) > MAX_REFUSALS or self._has_expired(now):
            self._drop_oldest()

    def _has_expired(self, now: float) -> bool:
        oldest = next(iter(self._refusals.values()), None)
        return oldest is not None and oldest.expires_at <= now

    def _remember_own(self, refusal: PastRefusal, now: float) -> None:
        while self._own and now - self._own[0].refused_at > RETENTION_S:
            self._own.popleft()
        self._own.append(refusal)
        if refusal.coordinator is None:
            self._last_decided_here[refusal.service] = refusal.number

    def _drop_oldest(self) -> None:
        _, refusal = self._refusals.popitem(last=False)
        same = self._by_fingerprint[refusal.fingerprint]
        same.remove(refusal)
        if not same:
            del self._by_fingerprint[refusal.fingerprint]


def retry_kind(refusal: PastRefusal, job: Job) -> RetryKind:
    """Return what a refusal means for its retry, apart from a promise."""
    if refusal.held_s <= QUICK_REFUSAL_FRACTION * job.route.objective_s:
        return RetryKind.COUNTED_ANEW
    return RetryKind.RECOGNISED


def _deadline_difference_s(refusal: PastRefusal, caller_deadline: float) -> float:
    """Return by how much two deadlines differ, in seconds; 0 if there is none at all."""
    if refusal.caller_deadline == caller_deadline:
        return 0.0
    return abs(refusal.caller_deadline - caller_deadline)
