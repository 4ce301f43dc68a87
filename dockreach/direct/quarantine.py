"""Quarantine of requests that crash the engines that run them.

A client may repeat such a request every second, each time under a new id and at another
entry, and every engine that starts it crashes. Harmless requests are in flight at the same
engines, and engines also exit for other reasons. All entries share what they observe and
together decide which requests to quarantine.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable

from cachetools import TLRUCache, TTLCache

from ..verdict import Reason, Refusal, Verdict
from .crash_history import CrashedRun, CrashHistory, CrashReport, ReportedCrash
from .round_robin import RoundRobin

MAX_RUNS = 2
"""Crashed runs after which a request is quarantined; overlapping runs count as one. In a
simulation with one crashing request every 1.1 s beside a harmless load on six engines (200
simulated days of 200 s, no probes), a limit of two cut off 6.7 harmless attempts a day and
a limit of three 15.0, and no harmless attempt was refused. Without a limit 181 engines
crashed and cut off 759 attempts.
"""

SUDDEN_S = 0.005
"""A connection that breaks sooner than this after a request was sent counts as half a
crash, in seconds: the engine may have been dead before, behind a proxy that still listened.
46 of 134 requests lost in four soak runs with repeated crashes broke this soon for that
reason. Engines that crashed while they ran a request took 0.066 s or longer. A request that
crashes its engines at once costs two more engines because of this rule."""

PROBE_DELAY_S = 60.0
"""Time after the last crash at which one entry runs a quarantined request again as a probe,
in seconds: a harmless request that is sent all the time may be in flight at two crashes by
chance, and would otherwise be refused for good."""

PROBE_BACKOFF_FACTOR = 4.0
"""Factor by which the delay grows after each probe that crashed an engine."""

MAX_PROBES = 3
"""Maximum number of probes that may crash an engine, over all entries; fewer where more
runs than usual were needed to quarantine the request."""

MAX_LATE_RUNS = 3
"""Maximum number of runs that may be sent after the third engine crashed, over all entries
and for as long as the request keeps arriving: each may cost the callers of one more engine
their responses."""

HARMLESS_EVENTS = 5
"""A stream that had produced this many events when its engine crashed is not suspected: a
request that crashes an engine does so during prefill or at its first tokens. Where engines
exit every 4 s for other reasons, 0.04 harmless attempts a day were refused; with all
streams younger than 1 s suspected it was 3.06 (200 simulated days of 200 s)."""

HARMLESS_RUN_S = 1.0
"""A stream that has produced events for longer than this is not suspected either, in
seconds: a slow engine produces few."""

HARMLESS_TTL_S = 5.0
"""How long a completed request is not suspected at this entry, in seconds: a request that
is sent all the time is in flight at most crashes."""

RETENTION_S = 600.0
"""How long a request is remembered after it last arrived, in seconds. While it keeps
arriving it stays quarantined, unless a probe completes. After the engines were replaced by
a healthy version, it runs again once it has not arrived for ten minutes."""

MAX_HISTORIES = 256
"""Maximum number of requests with a crash history, some 0.2 MB; the least recently seen
ones are dropped. Searching them for a digest, at most twenty times a second, takes 0.7 ms
where each has one crash, and 3.2 and 5.1 ms with two and four (best of five runs)."""

MAX_COMPLETED = 1024
"""Maximum number of completed requests that are remembered, some 0.3 MB: 200 a second at
one entry."""

MAX_CRASHED_INCARNATIONS = 1024
"""Maximum number of crashed incarnations whose crash time is remembered, for as long as
peers may still report them."""

GOSSIP_S = 10.0
"""How long a change is included in digests to peers, in seconds: an entry that was cut off
or paused is reachable again within this time."""

MAX_REPORTS_PER_DIGEST = 4
"""Maximum number of requests in one digest, some 90 bytes each. All are sent in turn."""


COPY_GAP_S = 2.0
"""Interval between two runs of a serialized request, in seconds. Such a request is not
quarantined although three engines crashed: overlapping runs count as one, and sudden
crashes as half. Within the interval either one more engine crashes or a response clears the
request. Without it 11 of 160 simulations with four entries sent more than three runs after
the third crash, up to eleven."""

QUARANTINED_REFUSAL = Refusal(
    Verdict.NOT_RUN, Reason.CRASHES_ENGINES, retry_after_s=RETENTION_S
)
"""Refusal of a quarantined request, however often it arrives."""

SERIALIZED_REFUSAL = Refusal(
    Verdict.NOT_RUN, Reason.CRASHES_ENGINES, retry_after_s=COPY_GAP_S
)
"""Refusal of a request while another copy of it shows whether it crashes engines."""


class Admission(enum.Enum):
    """Whether a request that has arrived may run."""

    ALLOWED = enum.auto()
    """It may run."""

    PROBE = enum.auto()
    """It may run once, at this entry only, as a half-open probe: a response ends its
    quarantine."""

    SERIALIZED = enum.auto()
    """It may not run now: one copy of it runs at a time."""

    QUARANTINED = enum.auto()
    """It is quarantined."""


def _expires_at(_: bytes, history: CrashHistory, now: float) -> float:
    """Return the time at which a crash history is dropped."""
    return min(history.last_seen_at, now) + RETENTION_S


class RequestQuarantine:
    """Decides which requests are quarantined because they crash engines.

    Args:
        clock: Returns the monotonic time, in seconds.
        is_probe_owner: Returns whether this entry is the one that may run probes and single
            copies of a request.
        max_runs: Number of crashed runs after which a request is quarantined.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        is_probe_owner: Callable[[bytes], bool],
        *,
        max_runs: int = MAX_RUNS,
    ) -> None:
        self._clock = clock
        self._is_probe_owner = is_probe_owner
        self._max_runs = max_runs
        self._histories: TLRUCache[bytes, CrashHistory] = TLRUCache(
            MAX_HISTORIES, ttu=_expires_at, timer=clock
        )
        self._completed: TTLCache[bytes, bool] = TTLCache(
            MAX_COMPLETED, ttl=HARMLESS_TTL_S, timer=clock
        )
        self._crashed_at: TTLCache[str, float] = TTLCache(
            MAX_CRASHED_INCARNATIONS, ttl=RETENTION_S, timer=clock
        )
        self._round_robin = RoundRobin()

    def __len__(self) -> int:
        return len(self._histories)

    def _meets_threshold(self, history: CrashHistory) -> bool:
        if len(history.crashes) < self._max_runs:
            return False
        return history.evidence(self._crashed_at) >= self._max_runs

    def quarantined(self) -> dict[bytes, float]:
        """Return quarantined requests with the monotonic time of the last crash of each."""
        return {
            fingerprint: max(run.crashed_at for run in history.crashes.values())
            for fingerprint, history in self._histories.items()
            if self._meets_threshold(history)
        }

    def admit(self, fingerprint: bytes) -> Admission:
        """Decide on a request that has arrived."""
        history = self._histories.get(fingerprint)
        if history is None:
            return Admission.ALLOWED
        now = self._clock()
        history.last_seen_at = now
        self._histories[fingerprint] = history
        is_quarantined = self._meets_threshold(history)
        if not is_quarantined and not history.is_serialized(self._crashed_at):
            return Admission.ALLOWED
        due = self._probe_at(history) if is_quarantined else history.probed_at + COPY_GAP_S
        if now < due or not self._is_probe_owner(fingerprint):
            return Admission.QUARANTINED if is_quarantined else Admission.SERIALIZED
        history.probed_at = now
        return Admission.PROBE if is_quarantined else Admission.ALLOWED

    def _probe_at(self, history: CrashHistory) -> float:
        """Return when a quarantined request may be probed, in seconds."""
        if history.late_runs(self._crashed_at) >= MAX_LATE_RUNS:
            return math.inf
        # Counts runs and not evidence: if the request crashes engines at once, each probe
        # is only half a crash.
        if len(history.sequential_runs(self._crashed_at)) >= self._max_runs + MAX_PROBES:
            return math.inf
        failed = math.floor(history.evidence(self._crashed_at) - self._max_runs)
        last = max(history.probed_at, *(run.crashed_at for run in history.crashes.values()))
        return last + PROBE_DELAY_S * PROBE_BACKOFF_FACTOR**failed

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request is quarantined."""
        history = self._histories.get(fingerprint)
        return history is not None and self._meets_threshold(history)

    def record_crash(
        self,
        fingerprint: bytes,
        incarnation: str,
        *,
        sent_at: float,
        crashed_at: float,
        is_connection_broken: bool = True,
    ) -> bool:
        """Record a crash of an engine during a request; return whether to report it.

        Args:
            fingerprint: Fingerprint of the request.
            incarnation: Id of the engine's incarnation; each counts once.
            sent_at: Monotonic time at which the request was sent to the engine, in seconds.
            crashed_at: Monotonic time of the crash, in seconds.
            is_connection_broken: Whether the connection broke at that time; otherwise the
                caller left or the deadline passed, while the engine was running the
                request.
        """
        if fingerprint in self._completed:
            # This crash is not reported to peers, so it must not change anything here
            # either: all entries have to reach the same decision.
            return False
        self._record_crash_time(incarnation, crashed_at)
        run = CrashedRun(
            incarnation,
            sent_at,
            crashed_at,
            is_sudden=is_connection_broken and crashed_at - sent_at < SUDDEN_S,
        )
        return self._update(
            fingerprint, crashed_at, lambda history: history.add(run, self._crashed_at)
        )

    def record_completion(self, fingerprint: bytes) -> bool:
        """Record that a request completed; return whether to report that to peers."""
        self._completed[fingerprint] = True
        return self.reconfirm_harmless(fingerprint)

    def reconfirm_harmless(self, fingerprint: bytes) -> bool:
        """Clear a request that completed here lately; return whether to report that.

        It may have completed before this entry received the reports of the crashes.
        """
        history = self._histories.get(fingerprint)
        if history is None or fingerprint not in self._completed:
            return False
        if not history.clear(history.crashes):
            return False
        history.changed_at = self._clock()
        return True

    def merge(self, report: CrashReport) -> bool:
        """Merge a peer's report; return whether that quarantines the request."""
        now = self._clock()
        previous = self._histories.get(report.fingerprint)
        was_quarantined = previous is not None and self._meets_threshold(previous)

        def change(history: CrashHistory) -> bool:
            changes = [
                history.add(CrashedRun.from_report(crash, now), self._crashed_at)
                for crash in report.crashes
            ]
            changes.append(history.clear(report.cleared))
            return any(changes)

        for crash in report.crashes:
            self._record_crash_time(crash.incarnation, now - crash.crash_age_s)
        self._update(report.fingerprint, now - report.last_seen_age_s, change)
        history = self._histories.get(report.fingerprint)
        if history is None or report.fingerprint in self._completed:
            return False
        return self._meets_threshold(history) and not was_quarantined

    def _record_crash_time(self, incarnation: str, crashed_at: float) -> None:
        """Keep the earliest known time of an engine's crash."""
        self._crashed_at[incarnation] = min(
            crashed_at, self._crashed_at.get(incarnation, crashed_at)
        )

    def _update(
        self, fingerprint: bytes, seen_at: float, change: Callable[[CrashHistory], bool]
    ) -> bool:
        now = self._clock()
        history = self._histories.get(fingerprint) or CrashHistory(seen_at, now)
        is_new = change(history)
        if is_new:
            history.changed_at = now
        history.last_seen_at = max(history.last_seen_at, seen_at)
        self._histories[fingerprint] = history
        return is_new

    def report(self, fingerprint: bytes) -> list[CrashReport]:
        """Return the report on one request for peers; empty if nothing is known."""
        history = self._histories.get(fingerprint)
        return [] if history is None else [self._to_report(fingerprint, history)]

    def report_restricted(self, max_reports: int) -> list[CrashReport]:
        """Return reports on quarantined and serialized requests, for an entry just started.

        Args:
            max_reports: Maximum number of reports.
        """
        restricted = [
            item for item in self._histories.items() if self._is_restricted(item[1])
        ]
        return [self._to_report(*item) for item in restricted[-max_reports:]]

    def _is_restricted(self, history: CrashHistory) -> bool:
        """Return whether a request is quarantined or serialized."""
        return self._meets_threshold(history) or history.is_serialized(self._crashed_at)

    def next_reports(self) -> list[CrashReport]:
        """Return the next reports for a digest: of restricted or changed requests."""
        if not self._histories:
            return []
        now = self._clock()
        due = [
            (fingerprint, history)
            for fingerprint, history in self._histories.items()
            if now - history.changed_at < GOSSIP_S or self._is_restricted(history)
        ]
        return [
            self._to_report(*item)
            for item in self._round_robin.next_items(due, MAX_REPORTS_PER_DIGEST)
        ]

    def _to_report(self, fingerprint: bytes, history: CrashHistory) -> CrashReport:
        now = self._clock()
        return CrashReport(
            fingerprint,
            [
                ReportedCrash(
                    run.incarnation, now - run.sent_at, now - run.crashed_at, run.is_sudden
                )
                for run in history.crashes.values()
            ],
            sorted(history.cleared),
            now - history.last_seen_at,
        )
