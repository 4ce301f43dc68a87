"""Quarantine of requests and prompt parts that crash the engines that run them.

A client may repeat a request every second, each time under a new id and at another entry,
and every engine that starts it crashes. Or no two requests are alike, but one part of their
prompts crashes engines. Harmless requests are in flight at the same engines, harmless parts
stand in the same prompts, and engines also exit for other reasons. All entries share what
they observe and together decide what to quarantine.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable

from cachetools import TLRUCache, TTLCache

from ..verdict import Reason, Refusal, Verdict
from .crash_history import CrashedRun, CrashHistory, CrashReport, ReportedCrash
from .fingerprint import is_part
from .restrictions import Restriction, find_restrictions
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

PART_PROBE_DELAY_S = 3.0
"""The same for a prompt part, in seconds: many callers share one, so that a harmless part
under suspicion costs more than a harmless request."""

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

PART_MAX_PROBES = 2
"""The same for a prompt part: requests with it come at all entries, and one may already be
on its way to an engine when it is quarantined."""

MAX_HISTORIES = 512
"""Maximum number of requests and prompt parts with a crash history, some 0.4 MB; the least
recently seen ones are dropped."""

MAX_PROVEN_PARTS = 2048
"""Maximum number of prompt parts that are remembered as harmless, some 0.6 MB."""

PROVEN_TTL_S = 30.0
"""How long a prompt part is remembered as harmless, in seconds: until reports of crashes
before that arrive, at the latest when the platform reports the engine's exit."""

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
"""Maximum number of requests and prompt parts in one digest, some 90 bytes each. All are
sent in turn."""

MIN_RESTRICTED_PER_DIGEST = 2
"""Places among them for what is quarantined or serialized: an entry that was cut off must
not wait for all other suspects to have their turn."""


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


def part_refusal(retry_after_s: float) -> Refusal:
    """Return the refusal of a request with a quarantined prompt part.

    Args:
        retry_after_s: Time until it may be tried whether the part is harmless, in seconds.
    """
    return QUARANTINED_REFUSAL._replace(
        detail="a part of the prompt crashes engines", retry_after_s=retry_after_s
    )


def _expires_at(_: bytes, history: CrashHistory, now: float) -> float:
    """Return the time at which a crash history is dropped."""
    return min(history.last_seen_at, now) + RETENTION_S


class RequestQuarantine:
    """Decides which requests and prompt parts are quarantined because they crash engines.

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
        self._proven: TTLCache[bytes, float] = TTLCache(
            MAX_PROVEN_PARTS, ttl=PROVEN_TTL_S, timer=clock
        )
        self._restricted_turns = RoundRobin()
        self._changed_turns = RoundRobin()
        self._restrictions: dict[bytes, Restriction] | None = None

    def __len__(self) -> int:
        return len(self._histories)

    def _restricted(self) -> dict[bytes, Restriction]:
        """Return what is quarantined or serialized, by fingerprint."""
        if self._restrictions is None:
            self._restrictions = find_restrictions(
                self._histories, self._crashed_at, max_runs=self._max_runs
            )
        elif self._restrictions:
            self._restrictions = {
                fingerprint: restriction
                for fingerprint, restriction in self._restrictions.items()
                if fingerprint in self._histories
            }
        return self._restrictions

    def quarantined(self) -> dict[bytes, float]:
        """Return what is quarantined, with the monotonic time of the last crash of each."""
        return {
            fingerprint: max(
                run.crashed_at for run in self._histories[fingerprint].crashes.values()
            )
            for fingerprint, restriction in self._restricted().items()
            if restriction.is_quarantined
        }

    def _blocking(self, suspects: tuple[bytes, ...]) -> dict[bytes, Restriction]:
        """Return the restrictions that apply to a request.

        A prompt part that always came together with others when engines crashed only
        blocks requests with all of them: whether it is harmless, the others show.

        Args:
            suspects: Fingerprints of the request and of its shared prompt parts.
        """
        if not self._histories:
            return {}
        restricted = self._restricted()
        return {
            fingerprint: restricted[fingerprint]
            for fingerprint in suspects
            if fingerprint in restricted
            and (
                not is_part(fingerprint)
                or restricted[fingerprint].tied <= frozenset(suspects)
            )
        }

    def admit(self, *suspects: bytes) -> Admission:
        """Decide on a request that has arrived.

        Args:
            suspects: Fingerprints of the request and of its shared prompt parts.
        """
        now = self._clock()
        for fingerprint in suspects if self._histories else ():
            history = self._histories.get(fingerprint)
            if history is not None:
                history.last_seen_at = now
                self._histories[fingerprint] = history
        blocking = self._blocking(suspects)
        if not blocking:
            return Admission.ALLOWED
        is_quarantined = any(item.is_quarantined for item in blocking.values())
        due = max(self._probe_at(*item) for item in blocking.items())
        if now < due or not self._is_probe_owner(min(blocking)):
            return Admission.QUARANTINED if is_quarantined else Admission.SERIALIZED
        for fingerprint in blocking:
            self._histories[fingerprint].probed_at = now
        return Admission.PROBE if is_quarantined else Admission.ALLOWED

    def refusal(self, *suspects: bytes) -> Refusal:
        """Return the refusal of a quarantined request, with a time to come back."""
        blocking = self._blocking(suspects)
        if not blocking or not all(map(is_part, blocking)):
            return QUARANTINED_REFUSAL
        due_s = max(self._probe_at(*item) for item in blocking.items()) - self._clock()
        return part_refusal(min(max(due_s, COPY_GAP_S), RETENTION_S))

    def _probe_at(self, fingerprint: bytes, restriction: Restriction) -> float:
        """Return when a restricted request or prompt part may run once, in seconds."""
        history = self._histories[fingerprint]
        if not restriction.is_quarantined:
            return history.probed_at + COPY_GAP_S
        last = max(history.probed_at, *(run.crashed_at for run in history.crashes.values()))
        if is_part(fingerprint):
            return last + _part_probe_delay_s(history)
        return last + self._probe_delay_s(history)

    def _probe_delay_s(self, history: CrashHistory) -> float:
        if history.late_runs(self._crashed_at) >= MAX_LATE_RUNS:
            return math.inf
        # Counts runs and not evidence: if the request crashes engines at once, each probe
        # is only half a crash.
        if len(history.sequential_runs(self._crashed_at)) >= self._max_runs + MAX_PROBES:
            return math.inf
        failed = math.floor(history.evidence(self._crashed_at) - self._max_runs)
        return PROBE_DELAY_S * PROBE_BACKOFF_FACTOR**failed

    def is_quarantined(self, *suspects: bytes) -> bool:
        """Return whether a request is quarantined, by itself or for its prompt.

        Args:
            suspects: Fingerprints of the request and of its shared prompt parts.
        """
        return any(item.is_quarantined for item in self._blocking(suspects).values())

    def record_crash(
        self,
        fingerprint: bytes,
        incarnation: str,
        *,
        sent_at: float,
        crashed_at: float,
        is_connection_broken: bool = True,
        is_probe: bool = False,
    ) -> bool:
        """Record a crash of an engine during a request; return whether to report it.

        Args:
            fingerprint: Fingerprint of the request, or of a shared part of its prompt.
            incarnation: Id of the engine's incarnation; each counts once.
            sent_at: Monotonic time at which the request was sent to the engine, in seconds.
            crashed_at: Monotonic time of the crash, in seconds.
            is_connection_broken: Whether the connection broke at that time; otherwise the
                caller left or the deadline passed, while the engine was running the
                request.
            is_probe: Whether the request was a probe.
        """
        if fingerprint in self._completed:
            # This crash is not reported to peers, so it must not change anything here
            # either: all entries have to reach the same decision.
            return False
        if self._proven.get(fingerprint, -math.inf) > crashed_at:
            return False
        self._record_crash_time(incarnation, crashed_at)
        run = CrashedRun(
            incarnation,
            sent_at,
            crashed_at,
            is_sudden=is_connection_broken and crashed_at - sent_at < SUDDEN_S,
            is_probe=is_probe,
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
        return self._record_cleared(history, has_changed=history.clear(history.crashes))

    def record_harmless_part(self, fingerprint: bytes, began_at: float) -> bool:
        """Record that an engine responded to a request with a prompt part without harm.

        Returns:
            Whether to report that to peers.

        Args:
            fingerprint: Fingerprint of the part.
            began_at: Monotonic time at which the engine began to respond, in seconds. The
                part may have caused later crashes: an engine may be replaced by a version
                that the part crashes.
        """
        self._proven[fingerprint] = max(began_at, self._proven.get(fingerprint, began_at))
        return self._clear_proven(fingerprint)

    def _clear_proven(self, fingerprint: bytes) -> bool:
        """Clear a prompt part of crashes before an engine responded to it here."""
        history = self._histories.get(fingerprint)
        if history is None or fingerprint not in self._proven:
            return False
        harmless_at = self._proven[fingerprint]
        return self._record_cleared(history, has_changed=history.clear_until(harmless_at))

    def _record_cleared(self, history: CrashHistory, *, has_changed: bool) -> bool:
        if has_changed:
            history.changed_at = self._clock()
            self._restrictions = None
        return has_changed

    def merge(self, report: CrashReport) -> bool:
        """Merge a peer's report; return whether that quarantines its subject."""
        now = self._clock()
        was_quarantined = self._is_quarantined_alone(report.fingerprint)

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
        self._clear_proven(report.fingerprint)
        if report.fingerprint in self._completed:
            return False
        return self._is_quarantined_alone(report.fingerprint) and not was_quarantined

    def _is_quarantined_alone(self, fingerprint: bytes) -> bool:
        """Return whether a request or prompt part is quarantined, tied to others or not."""
        restriction = self._restricted().get(fingerprint)
        return restriction is not None and restriction.is_quarantined

    def _record_crash_time(self, incarnation: str, crashed_at: float) -> None:
        """Keep the earliest known time of an engine's crash."""
        known = self._crashed_at.get(incarnation)
        if known is None or crashed_at < known:
            self._crashed_at[incarnation] = crashed_at
            self._restrictions = None

    def _update(
        self, fingerprint: bytes, seen_at: float, change: Callable[[CrashHistory], bool]
    ) -> bool:
        now = self._clock()
        history = self._histories.get(fingerprint) or CrashHistory(seen_at, now)
        crashes = dict(history.crashes)
        is_new = change(history)
        if is_new:
            history.changed_at = now
        if is_new or crashes != history.crashes:
            self._restrictions = None
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
        restricted = list(self._restricted())[-max_reports:]
        return [self._to_report(item, self._histories[item]) for item in restricted]

    def next_reports(self) -> list[CrashReport]:
        """Return the next reports for a digest: of what is restricted or has changed."""
        if not self._histories:
            return []
        now = self._clock()
        restricted = list(self._restricted())
        changed = [
            fingerprint
            for fingerprint, history in self._histories.items()
            if now - history.changed_at < GOSSIP_S and fingerprint not in restricted
        ]
        places = MAX_REPORTS_PER_DIGEST
        for_restricted = max(places - len(changed), MIN_RESTRICTED_PER_DIGEST)
        due = self._restricted_turns.next_items(restricted, for_restricted)
        due = due + self._changed_turns.next_items(changed, places - len(due))
        return [self._to_report(item, self._histories[item]) for item in due]

    def _to_report(self, fingerprint: bytes, history: CrashHistory) -> CrashReport:
        now = self._clock()
        return CrashReport(
            fingerprint,
            [
                ReportedCrash(
                    run.incarnation,
                    now - run.sent_at,
                    now - run.crashed_at,
                    run.is_sudden,
                    run.is_probe,
                )
                for run in history.crashes.values()
            ],
            sorted(history.cleared),
            now - history.last_seen_at,
        )


def _part_probe_delay_s(history: CrashHistory) -> float:
    """Return the time until a quarantined prompt part is probed, in seconds.

    Counts the probes that failed and not the crashes: a harmless part that many requests
    share may be in flight at any number of them.
    """
    failed = history.failed_probes
    if failed >= PART_MAX_PROBES:
        return math.inf
    return PART_PROBE_DELAY_S * PROBE_BACKOFF_FACTOR**failed
