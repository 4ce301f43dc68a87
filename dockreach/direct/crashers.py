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
from .crash_record import Record, Run, Suspect, ToldEnd
from .round_robin import RoundRobin

MOST_RUNS = 2
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

TRIAL_S = 60.0
"""Time after the last crash at which one entry runs a quarantined request again as a probe,
in seconds: a harmless request that is sent all the time may be in flight at two crashes by
chance, and would otherwise be refused for good."""

TRIAL_FACTOR = 4.0
"""Factor by which the delay grows after each probe that crashed an engine."""

MOST_TRIALS = 3
"""Maximum number of probes that may crash an engine, over all entries; fewer where more
runs than usual were needed to quarantine the request."""

MOST_LATE_RUNS = 3
"""Maximum number of runs that may be sent after the third engine crashed, over all entries
and for as long as the request keeps arriving: each may cost the callers of one more engine
their responses."""

SOUND_EVENTS = 5
"""A stream that had produced this many events when its engine crashed is not suspected: a
request that crashes an engine does so during prefill or at its first tokens. Where engines
exit every 4 s for other reasons, 0.04 harmless attempts a day were refused; with all
streams younger than 1 s suspected it was 3.06 (200 simulated days of 200 s)."""

SOUND_RUN_S = 1.0
"""A stream that has produced events for longer is not suspected either, in seconds: a slow
engine produces few."""

SOUND_S = 5.0
"""How long a completed request is not suspected at this entry, in seconds: a request that
is sent all the time is in flight at most crashes."""

KEPT_S = 600.0
"""How long a request is remembered after it last arrived, in seconds. While it keeps
arriving it stays quarantined; an engine that is replaced by a healthy version receives it
ten minutes after the last arrival."""

MOST_KEPT = 256
"""Maximum number of requests with a crash history, some 0.2 MB; the least recently seen
ones are dropped. Searching them for a digest, at most twenty times a second, takes 0.7 ms
where each has one crash, and 3.2 and 5.1 ms with two and four (best of five runs)."""

MOST_ANSWERED = 1024
"""Maximum number of completed requests that are remembered, some 0.3 MB: 200 a second at
one entry."""

MOST_LIVES = 1024
"""Maximum number of crashed incarnations whose crash time is remembered, for as long as
peers may still report them."""

SPREAD_S = 10.0
"""How long a change is included in digests to peers, in seconds: an entry that was cut off
or paused is reachable again within this time."""

MOST_TOLD = 4
"""Maximum number of requests in one digest, some 90 bytes each. All are sent in turn."""


DOUBT_S = 2.0
"""Interval between two runs of a request during whose overlapping runs three engines
crashed, in seconds: within it either one more engine crashes or a response clears the
request. Without it 11 of 160 simulations with four entries sent more than three runs after
the third crash, up to eleven."""

BARRED = Refusal(Verdict.NOT_RUN, Reason.CRASHES_ENGINES, retry_after_s=KEPT_S)
"""Refusal of a quarantined request, however often it arrives."""

DOUBTED = Refusal(Verdict.NOT_RUN, Reason.CRASHES_ENGINES, retry_after_s=DOUBT_S)
"""Refusal of a request while another copy of it shows whether it crashes engines."""


class Admission(enum.Enum):
    """Whether a request that has arrived may run."""

    FREE = enum.auto()
    """It may run."""

    TRIAL = enum.auto()
    """It may run once, at this entry only, as a half-open probe: a response ends its
    quarantine."""

    DOUBTED = enum.auto()
    """It may not run now: one copy of it runs at a time."""

    BARRED = enum.auto()
    """It is quarantined."""


def _forget_at(_: bytes, history: Record, now: float) -> float:
    """Return the time at which a crash history is dropped."""
    return min(history.came, now) + KEPT_S


class Crashers:
    """Decides which requests are quarantined because they crash engines.

    Args:
        clock: Returns the monotonic time, in seconds.
        is_trier: Returns whether this entry is the one that probes a quarantined request.
        most_runs: Number of crashed runs after which a request is quarantined.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        is_trier: Callable[[bytes], bool],
        *,
        most_runs: int = MOST_RUNS,
    ) -> None:
        self._clock = clock
        self._is_trier = is_trier
        self._most_runs = most_runs
        self._records: TLRUCache[bytes, Record] = TLRUCache(
            MOST_KEPT, ttu=_forget_at, timer=clock
        )
        self._answered: TTLCache[bytes, bool] = TTLCache(
            MOST_ANSWERED, ttl=SOUND_S, timer=clock
        )
        self._ended: TTLCache[str, float] = TTLCache(MOST_LIVES, ttl=KEPT_S, timer=clock)
        self._turns = RoundRobin()

    def __len__(self) -> int:
        return len(self._records)

    def _bars(self, history: Record) -> bool:
        if len(history.ends) < self._most_runs:
            return False
        return history.signs(self._ended) >= self._most_runs

    def barred(self) -> dict[bytes, float]:
        """Return quarantined requests with the monotonic time of the last crash of each."""
        return {
            fingerprint: max(run.ended for run in history.ends.values())
            for fingerprint, history in self._records.items()
            if self._bars(history)
        }

    def admit(self, fingerprint: bytes) -> Admission:
        """Decide on a request that has arrived."""
        history = self._records.get(fingerprint)
        if history is None:
            return Admission.FREE
        now = self._clock()
        history.came = now
        self._records[fingerprint] = history
        is_quarantined = self._bars(history)
        if not is_quarantined and not history.is_doubted(self._ended):
            return Admission.FREE
        due = self._trial_at(history) if is_quarantined else history.tried + DOUBT_S
        if now < due or not self._is_trier(fingerprint):
            return Admission.BARRED if is_quarantined else Admission.DOUBTED
        history.tried = now
        return Admission.TRIAL if is_quarantined else Admission.FREE

    def _trial_at(self, history: Record) -> float:
        """Return when a quarantined request may be probed, in seconds."""
        if history.late_runs(self._ended) >= MOST_LATE_RUNS:
            return math.inf
        # Counts runs and not evidence: if the request crashes engines at once, each probe
        # is only half a crash.
        if len(history.runs(self._ended)) >= self._most_runs + MOST_TRIALS:
            return math.inf
        failed = math.floor(history.signs(self._ended) - self._most_runs)
        last = max(history.tried, *(run.ended for run in history.ends.values()))
        return last + TRIAL_S * TRIAL_FACTOR**failed

    def is_barred(self, fingerprint: bytes) -> bool:
        """Return whether a request is quarantined."""
        history = self._records.get(fingerprint)
        return history is not None and self._bars(history)

    def note_end(
        self,
        fingerprint: bytes,
        life: str,
        *,
        sent: float,
        ended: float,
        is_cut: bool = True,
    ) -> bool:
        """Record a crash of an engine during a request; return whether to report it.

        Args:
            fingerprint: Of the request.
            life: Incarnation of the engine; it counts once.
            sent: Monotonic time at which the request was sent to the engine, in seconds.
            ended: Monotonic time of the crash, in seconds.
            is_cut: Whether the connection broke at that time; otherwise the caller left or
                the deadline passed, while the engine was running the request.
        """
        if fingerprint in self._answered:
            # This crash is not reported to peers, so it must not change anything here
            # either: all entries have to reach the same decision.
            return False
        self._note_life(life, ended)
        run = Run(life, sent, ended, is_sudden=is_cut and ended - sent < SUDDEN_S)
        return self._change(
            fingerprint, ended, lambda history: history.add(run, self._ended)
        )

    def note_answered(self, fingerprint: bytes) -> bool:
        """Record that a request completed; return whether to report that to peers."""
        self._answered[fingerprint] = True
        return self.vouch(fingerprint)

    def vouch(self, fingerprint: bytes) -> bool:
        """Clear a request that completed here lately; return whether to report that.

        It may have completed before this entry received the reports of the crashes.
        """
        history = self._records.get(fingerprint)
        if history is None or fingerprint not in self._answered:
            return False
        if not history.clear(history.ends):
            return False
        history.changed = self._clock()
        return True

    def take(self, report: Suspect) -> bool:
        """Merge a peer's report; return whether it makes the request quarantined."""
        now = self._clock()
        previous = self._records.get(report.fingerprint)
        was_quarantined = previous is not None and self._bars(previous)

        def change(history: Record) -> bool:
            changes = [
                history.add(Run.told(crash, now), self._ended) for crash in report.ends
            ]
            changes.append(history.clear(report.cleared))
            return any(changes)

        for crash in report.ends:
            self._note_life(crash.life, now - crash.ended_s)
        self._change(report.fingerprint, now - report.came_s, change)
        history = self._records.get(report.fingerprint)
        if history is None or report.fingerprint in self._answered:
            return False
        return self._bars(history) and not was_quarantined

    def _note_life(self, incarnation: str, crashed_at: float) -> None:
        """Keep the earliest known time of an engine's crash."""
        self._ended[incarnation] = min(crashed_at, self._ended.get(incarnation, crashed_at))

    def _change(
        self, fingerprint: bytes, seen_at: float, change: Callable[[Record], bool]
    ) -> bool:
        now = self._clock()
        history = self._records.get(fingerprint) or Record(seen_at, now)
        is_new = change(history)
        if is_new:
            history.changed = now
        history.came = max(history.came, seen_at)
        self._records[fingerprint] = history
        return is_new

    def tell(self, fingerprint: bytes) -> list[Suspect]:
        """Return the report on one request for peers; empty if nothing is known."""
        history = self._records.get(fingerprint)
        return [] if history is None else [self._told(fingerprint, history)]

    def tell_held(self, max_reports: int) -> list[Suspect]:
        """Return reports on quarantined and serialized requests, for an entry just started.

        Args:
            max_reports: Maximum number of reports.
        """
        restricted = [item for item in self._records.items() if self._holds(item[1])]
        return [self._told(*item) for item in restricted[-max_reports:]]

    def _holds(self, history: Record) -> bool:
        """Return whether a request is quarantined or serialized."""
        return self._bars(history) or history.is_doubted(self._ended)

    def tell_some(self) -> list[Suspect]:
        """Return the next reports for a digest: of restricted or changed requests."""
        if not self._records:
            return []
        now = self._clock()
        due = [
            (fingerprint, history)
            for fingerprint, history in self._records.items()
            if now - history.changed < SPREAD_S or self._holds(history)
        ]
        return [self._told(*item) for item in self._turns.next_items(due, MOST_TOLD)]

    def _told(self, fingerprint: bytes, history: Record) -> Suspect:
        now = self._clock()
        return Suspect(
            fingerprint,
            [
                ToldEnd(run.life, now - run.sent, now - run.ended, run.is_sudden)
                for run in history.ends.values()
            ],
            sorted(history.cleared),
            now - history.came,
        )
