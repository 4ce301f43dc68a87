"""Crash history of a request or a prompt part: engines that crashed while they ran it.

It may crash several engines, one after another or all at once, while engines also
exit for other reasons during harmless requests.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

SUDDEN_CRASH_WEIGHT = 0.5
"""Weight of a crashed run whose engine may have been dead before the request was sent to
it; other runs have weight 1."""

SERIALIZE_AFTER = 3
"""Number of engine crashes after which at most one copy of a request runs at a time: by
then the request is likely to be their cause."""

MAX_CRASHES = 6
"""Maximum number of engine crashes kept for one request."""


class ReportedCrash(msgspec.Struct, array_like=True):
    """An engine crash during a request, as one entry reports it to others.

    Attributes:
        incarnation: Id of the engine's incarnation.
        request_age_s: Time since the request was sent to it, in seconds.
        crash_age_s: Time since it crashed, in seconds.
        is_sudden: Whether it may have been dead before the request was sent to it.
        is_probe: Whether the request was a probe.
    """

    incarnation: str
    request_age_s: float
    crash_age_s: float
    is_sudden: bool = False
    is_probe: bool = False


class CrashReport(msgspec.Struct, array_like=True):
    """The crash history of a request, as one entry reports it to others.

    Attributes:
        fingerprint: Fingerprint of the request.
        crashes: Engine crashes while the request was running.
        cleared: Incarnations among them that exited for another reason: the request has
            completed since.
        last_seen_age_s: Time since the request last arrived, in seconds.
    """

    fingerprint: bytes
    crashes: list[ReportedCrash]
    cleared: list[str]
    last_seen_age_s: float


class CrashedRun(NamedTuple):
    """A run of a request during which the engine crashed.

    Attributes:
        incarnation: Id of the engine's incarnation.
        sent_at: Monotonic time at which the request was sent to it, in seconds.
        crashed_at: Monotonic time of the crash, in seconds.
        is_sudden: Whether the engine may have been dead before the request was sent to it.
        is_probe: Whether the request was a probe.
    """

    incarnation: str
    sent_at: float
    crashed_at: float
    is_sudden: bool = False
    is_probe: bool = False

    @classmethod
    def from_report(cls, crash: ReportedCrash, now: float) -> CrashedRun:
        """Return the run that another entry reports."""
        return cls(
            crash.incarnation,
            now - crash.request_age_s,
            now - crash.crash_age_s,
            crash.is_sudden,
            crash.is_probe,
        )


@dataclass(slots=True)
class CrashHistory:
    """The crashes observed while one request was running.

    Attributes:
        crashes: Its crashed runs, by incarnation of the engine.
        cleared: Incarnations whose crash it did not cause.
        last_seen_at: Monotonic time at which it last arrived, in seconds.
        changed_at: Monotonic time at which the history last changed, in seconds.
        probed_at: Monotonic time of the last run that was let through here under
            restrictions, as a probe or as the single copy, in seconds.
    """

    last_seen_at: float
    changed_at: float
    probed_at: float = -math.inf
    crashes: dict[str, CrashedRun] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)

    def sequential_runs(self, crashed_at: Mapping[str, float]) -> list[CrashedRun]:
        """Return the suspected runs, with only the first of those that overlap.

        Overlapping runs count once: a whole service may be killed at once while the same
        harmless request is in flight at several of its engines.

        Args:
            crashed_at: Earliest known monotonic time of each engine's crash, in seconds.
        """
        return _sequential(self.suspected_runs(crashed_at))

    def evidence(self, crashed_at: Mapping[str, float]) -> float:
        """Return the sum of the weights of the sequential runs."""
        return evidence_of(self.suspected_runs(crashed_at))

    def late_runs(self, crashed_at: Mapping[str, float]) -> int:
        """Return how many suspected runs were sent after `SERIALIZE_AFTER` crashes."""
        runs = self.suspected_runs(crashed_at)
        if len(runs) < SERIALIZE_AFTER:
            return 0
        since = runs[SERIALIZE_AFTER - 1].crashed_at
        return sum(run.sent_at >= since for run in runs)

    @property
    def failed_probes(self) -> int:
        """How many of the runs were probes."""
        return sum(run.is_probe for run in self.crashes.values())

    def suspected_runs(self, crashed_at: Mapping[str, float]) -> list[CrashedRun]:
        """Return the runs that may have crashed their engines, the earliest crash first.

        A request that was sent to an engine after its crash was lost there and is not the
        cause.
        """
        suspected = [
            run
            for run in self.crashes.values()
            if run.incarnation not in self.cleared
            and run.sent_at < crashed_at.get(run.incarnation, run.crashed_at)
        ]
        return sorted(suspected, key=lambda run: run.crashed_at)

    def add(self, run: CrashedRun, crashed_at: Mapping[str, float]) -> bool:
        """Add a crashed run; return whether it is new."""
        known = self.crashes.get(run.incarnation)
        if known is not None:
            # A delayed report gives too late a time for the crash, so keep the earlier.
            self.crashes[run.incarnation] = min(known, run, key=lambda run: run.crashed_at)
            return False
        self.crashes[run.incarnation] = run
        if len(self.crashes) > MAX_CRASHES:
            self._evict_one(crashed_at)
        return run.incarnation in self.crashes

    def _evict_one(self, crashed_at: Mapping[str, float]) -> None:
        """Drop a cleared crash, else the latest one that is not among the sequential runs.

        Probes are kept, since they are counted to bound them. Otherwise six engines that
        crash at once would hide all later crashes.
        """
        counted = self.sequential_runs(crashed_at)

        def priority(run: CrashedRun) -> tuple[bool, bool, bool, float]:
            is_suspected = run.incarnation not in self.cleared
            return is_suspected, run.is_probe, run in counted, -run.crashed_at

        incarnation = min(self.crashes.values(), key=priority).incarnation
        del self.crashes[incarnation]
        self.cleared.discard(incarnation)

    def clear_until(self, harmless_at: float) -> bool:
        """Mark the crashes up to a monotonic time as not caused; return whether any is new.

        Args:
            harmless_at: Time at which a run began that ended well, in seconds.
        """
        return self.clear(
            incarnation
            for incarnation, run in self.crashes.items()
            if run.crashed_at < harmless_at
        )

    def clear(self, incarnations: Iterable[str]) -> bool:
        """Mark crashes as not caused by the request; return whether any is new."""
        newly_cleared = set(incarnations) & self.crashes.keys() - self.cleared
        self.cleared |= newly_cleared
        return bool(newly_cleared)


def evidence_of(runs: Iterable[CrashedRun]) -> float:
    """Return the sum of the weights of some runs, of which overlapping ones count once.

    Args:
        runs: The runs, the earliest crash first.
    """
    return sum(SUDDEN_CRASH_WEIGHT if run.is_sudden else 1.0 for run in _sequential(runs))


def _sequential(runs: Iterable[CrashedRun]) -> list[CrashedRun]:
    sequential: list[CrashedRun] = []
    for run in runs:
        if not sequential or run.sent_at >= sequential[-1].crashed_at:
            sequential.append(run)
    return sequential
