"""The waiting jobs of one service, in the order in which they get slots.

Each organisation has a line of its own in each tier, in which who has least time to spare
goes first. The lines of a tier are merged by virtual start times. A round computes these
anew, and merges again, only for lines in which something has changed since the last one: to
merge 1,000 jobs of 300 organisations from the start takes longer than to sort them.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from .fair_shares import FairShares
from .jobs import Job
from .pressure import Rank


class _Entry(NamedTuple):
    """A job in its line.

    Attributes:
        latest_start: Monotonic time by which its work has to begin, in seconds.
        sequence: Rises with each job, so that equal times keep the order of arrival.
        engine_s: Engine time that the job is likely to take, in seconds.
    """

    latest_start: float
    sequence: int
    job: Job
    engine_s: float


_Line = list[_Entry]

_Tagged = tuple[float, float, int, Job, str]
"""A job in the merged order: its virtual start time, its latest start, its sequence number,
the job, and the name of its line."""


@dataclass(slots=True)
class _Tier:
    """The waiting jobs of one tier.

    Attributes:
        lines: The jobs by organisation; all in one if shares are not in force.
        tagged: The merged order.
        changed: Lines for which the merged order is outdated.
    """

    lines: dict[str, _Line] = field(default_factory=dict)
    tagged: list[_Tagged] = field(default_factory=list)
    changed: set[str] = field(default_factory=set)


class ServiceQueue:
    """Queue of one service.

    A job's rank, organisation and queue deadline must not change while it waits.

    Args:
        service: Name of the service.
        shares: Start times of the organisations.
    """

    def __init__(self, service: str, shares: FairShares) -> None:
        self._service = service
        self._shares = shares
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
        entry = _Entry(_latest_start(job), self._sequence, job, engine_s)
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

    def ordered(self) -> list[Job]:
        """Return all jobs in the order in which they get slots."""
        jobs: list[Job] = []
        for rank in sorted(self._tiers):
            tier = self._tiers[rank]
            if self._is_shared:
                self._update_tags(rank, tier)
                jobs.extend([item[3] for item in tier.tagged])
            else:
                for line in tier.lines.values():
                    jobs.extend([entry.job for entry in line])
        return jobs

    def _add_changed(self, changed: set[str], rank: Rank, tier: _Tier) -> None:
        """Add the lines that a charge or the virtual time has changed."""
        charged = self._shares.take_changed(self._service, rank)
        changed.update(tier.lines if charged is None else charged)
        virtual_time = self._shares.virtual_time(self._service, rank)
        for item in tier.tagged:
            if item[0] >= virtual_time:
                break
            changed.add(item[4])

    def _update_tags(self, rank: Rank, tier: _Tier) -> None:
        """Compute the start times anew of the lines in which something has changed."""
        changed = tier.changed
        self._shares.weigh_unnamed(self._service, rank, _unnamed_weight(tier))
        self._add_changed(changed, rank, tier)
        if not changed:
            return
        tagged = [item for item in tier.tagged if item[4] not in changed]
        names = [name for name in changed if name in tier.lines]
        for name, first_start, weight in self._shares.starts(self._service, rank, names):
            start = first_start
            for latest_start, sequence, job, engine_s in tier.lines[name]:
                tagged.append((start, latest_start, sequence, job, name))
                start += engine_s / weight
        # The kept items are in order already, and so is each line: `list.sort` merges such
        # runs.
        tagged.sort()
        tier.tagged = tagged
        changed.clear()

    def _line_name(self, job: Job) -> str:
        return job.organisation if self._is_shared else ""


def _latest_start(job: Job) -> float:
    """Return the time by which a job is ordered in its line, in seconds.

    A time that is not a number cannot be ordered: other jobs would then not be found. Times
    in messages may be invalid; jobs without a usable one go last.
    """
    return job.queue_deadline if math.isfinite(job.queue_deadline) else math.inf


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
