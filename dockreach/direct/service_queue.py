"""The waiting jobs of one service, in the order in which they get slots.

Each organisation has a line of its own in each tier, in the order of first attempts. The
lines of a tier are merged by virtual start times. A round computes these anew, and merges
again, only for lines in which something has changed since the last one: to merge 1,000 jobs
of 300 organisations from the start takes longer than to sort them.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from .fair_shares import FairShares
from .jobs import Job
from .pressure import Rank

Urgency = tuple[bool, ...]
"""Order of jobs of one tier before their organisations' shares; the lowest goes first."""


class _Entry(NamedTuple):
    """A job in its line.

    Attributes:
        first_attempt_at: Monotonic time, in seconds; the arrival if it is unknown.
        sequence: Rises with each job, so that equal times keep the order of arrival.
        engine_s: Engine time that the job is likely to take, in seconds.
    """

    first_attempt_at: float
    sequence: int
    job: Job
    engine_s: float


_Line = list[_Entry]

_Tagged = tuple[float, float, int, Job, str]
"""A job in the merged order: its virtual start time, its caller's first attempt, its
sequence number, the job, and the name of its line."""


@dataclass(slots=True)
class _Tier:
    """The waiting jobs of one tier.

    Attributes:
        lines: The jobs by organisation; all in one if shares are not in force.
        tagged: The merged order, by urgency.
        changed: Lines for which the merged order is outdated.
    """

    lines: dict[str, _Line] = field(default_factory=dict)
    tagged: dict[Urgency, list[_Tagged]] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)


class ServiceQueue:
    """Queue of one service.

    A job's rank, organisation and first attempt must not change while it waits.

    Args:
        service: Name of the service.
        shares: Start times of the organisations.
        urgency: Returns the order of a job within its tier, before its organisation's
            share, at a monotonic time in seconds.
    """

    def __init__(
        self,
        service: str,
        shares: FairShares,
        urgency: Callable[[Job, float], Urgency],
    ) -> None:
        self._service = service
        self._shares = shares
        self._urgency = urgency
        self._tiers: dict[Rank, _Tier] = {}
        self._entries: dict[Job, _Entry] = {}
        self._is_shared = shares.is_active
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Job]:
        return iter(list(self._entries))

    def __contains__(self, job: Job) -> bool:
        return job in self._entries

    def waiting_by_organisation(self) -> Counter[str]:
        """Return the number of waiting jobs of each organisation."""
        return Counter(job.organisation for job in self._entries)

    def add(self, job: Job) -> None:
        """Add a job."""
        self._sequence += 1
        engine_s = self._shares.engine_s(job) if self._is_shared else 0.0
        entry = _Entry(_order_time(job), self._sequence, job, engine_s)
        self._entries[job] = entry
        name = self._line_name(job)
        tier = self._tiers.setdefault(job.rank, _Tier())
        tier.changed.add(name)
        line = tier.lines.get(name)
        if line is None:
            line = tier.lines[name] = []
            if self._is_shared:
                self._shares.begin_backlog(self._service, job.rank, job.organisation)
        insort(line, entry)

    def remove(self, job: Job) -> None:
        """Remove a job, if it is in the queue."""
        entry = self._entries.pop(job, None)
        if entry is None:
            return
        name = self._line_name(job)
        tier = self._tiers[job.rank]
        tier.changed.add(name)
        line = tier.lines[name]
        position = bisect_left(line, entry)
        if position == len(line) or line[position] is not entry:
            position = next(index for index, row in enumerate(line) if row is entry)
        del line[position]
        if not line:
            del tier.lines[name]
            if not tier.lines:
                del self._tiers[job.rank]

    def regroup(self) -> None:
        """Form the lines anew, after the organisations' weights have changed."""
        jobs = list(self._entries)
        self._tiers.clear()
        self._entries.clear()
        self._is_shared = self._shares.is_active
        for job in jobs:
            self.add(job)

    def ordered(self, now: float) -> list[Job]:
        """Return all jobs in the order in which they get slots."""
        jobs: list[Job] = []
        for rank in sorted(self._tiers):
            tier = self._tiers[rank]
            if self._is_shared:
                self._update_tags(rank, tier, now)
                for _, tagged in sorted(tier.tagged.items(), key=_urgency_of_group):
                    jobs.extend([item[3] for item in tagged])
            else:
                for line in tier.lines.values():
                    for _, entries in self._by_urgency(line, now):
                        jobs.extend([entry[2] for entry in entries])
        return jobs

    def _by_urgency(self, line: _Line, now: float) -> list[tuple[Urgency, _Line]]:
        """Return the entries of a line by urgency, the most urgent ones first."""
        urgency = self._urgency
        groups: dict[Urgency, _Line] = {}
        for entry in line:
            key = urgency(entry[2], now)
            if key in groups:
                groups[key].append(entry)
            else:
                groups[key] = [entry]
        return sorted(groups.items(), key=_urgency_of_group)

    def _add_changed(self, changed: set[str], rank: Rank, tier: _Tier, now: float) -> None:
        """Add the lines that an urgency, a charge or the virtual time has changed."""
        charged = self._shares.take_changed(self._service, rank)
        changed.update(tier.lines if charged is None else charged)
        virtual_time = self._shares.virtual_time(self._service, rank)
        urgency = self._urgency
        for key, tagged in tier.tagged.items():
            changed.update([item[4] for item in tagged if urgency(item[3], now) != key])
            for item in tagged:
                if item[0] >= virtual_time:
                    break
                changed.add(item[4])

    def _update_tags(self, rank: Rank, tier: _Tier, now: float) -> None:
        """Compute the start times anew of the lines in which something has changed."""
        changed = tier.changed
        self._shares.weigh_unnamed(self._service, rank, _unnamed_weight(tier))
        self._add_changed(changed, rank, tier, now)
        if not changed:
            return
        groups: defaultdict[Urgency, list[_Tagged]] = defaultdict(list)
        for key, tagged in tier.tagged.items():
            kept = [item for item in tagged if item[4] not in changed]
            if kept:
                groups[key] = kept
        names = [name for name in changed if name in tier.lines]
        for name, first_start, weight in self._shares.starts(self._service, rank, names):
            start = first_start
            for key, entries in self._by_urgency(tier.lines[name], now):
                group = groups[key]
                for first_attempt_at, sequence, job, engine_s in entries:
                    group.append((start, first_attempt_at, sequence, job, name))
                    start += engine_s / weight
        for group in groups.values():
            # The kept items are in order already, and so is each line: `list.sort` merges
            # such runs.
            group.sort()
        tier.tagged = dict(groups)
        changed.clear()

    def _line_name(self, job: Job) -> str:
        return job.organisation if self._is_shared else ""


def _order_time(job: Job) -> float:
    """Return the time by which a job is ordered in its line, in seconds.

    A time that is not a number cannot be ordered: other jobs would then not be found. Ages
    in messages may be invalid; jobs without any usable time go last.
    """
    for moment in (job.first_attempt_at, job.arrived_at):
        if math.isfinite(moment):
            return moment
    return math.inf


def _unnamed_weight(tier: _Tier) -> float:
    """Return the number of a tier's jobs of an earlier version by that of a mean line.

    Entries of an earlier version report neither organisations nor halls.
    """
    others = len(tier.lines) - 1
    unnamed = tier.lines.get("")
    if unnamed is None or not others:
        return 0.0
    count = sum(1 for entry in unnamed if not entry.job.hall)
    named = sum(len(line) for line in tier.lines.values()) - len(unnamed)
    return count * others / named


def _urgency_of_group(group: tuple[Urgency, object]) -> Urgency:
    return group[0]
