"""Speed and concurrency of an engine, as measured by its agent.

The declared rates are only the initial values. Prefill rate and token gap (time between
two tokens of a request) follow the measurements. The window (the number of requests run
at once) shrinks while tokens arrive too slowly and grows back by one a second. The
engine's own load report is not used, because it lags behind.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SMOOTHING_FACTOR = 0.2
"""Weight of a new sample in an exponentially weighted mean."""

SLOW_GAP_FACTOR = 1.5
"""Multiple of the objective gap above which the window shrinks."""

WINDOW_SHRINK_FACTOR = 0.7
"""Factor by which the window shrinks."""

ADJUST_INTERVAL_S = 1.0
SUSPECT_AFTER_S = 0.75
"""Minimum time without progress after which a busy engine gets no grants."""

SUSPECT_FACTOR = 4.0
"""Multiple of the expected time to progress after which a busy engine gets no grants."""

MIN_PREFILL_SAMPLE_TOKENS = 64
RESERVE_FRACTION = 0.2
"""Fraction of the window reserved for short requests, and again for higher tiers."""

MIN_SLOTS_TO_RESERVE = 4
"""Minimum slots and window size with which slots are reserved."""

ESTIMATE_SAFETY_FACTOR = 1.1
"""Safety factor on an estimate, already scaled by past lateness, before rejecting early."""

MAX_LATENESS = 4.0
DEGRADED_FACTOR = 3.0
"""An idle engine is probed if it is slower than declared by this factor."""


class DrainRate:
    """Rate at which the holds of each tier leave the queue because they are served.

    The holds of a pool are queued at several agents at once, so the rate at which they
    leave one queue, served here or elsewhere, measures the whole pool.
    """

    def __init__(self) -> None:
        self._served_at: dict[int, deque[float]] = {}
        self._queued_since: dict[int, float] = {}

    def record_served(self, tier: int, now: float) -> None:
        """Record that a hold of a tier was committed, here or at another agent."""
        self._served_at.setdefault(tier, deque(maxlen=MAX_DRAIN_SAMPLES)).append(now)

    def record_waiting(self, tier: int, count: int, now: float) -> None:
        """Record the number of queued holds of a tier, and since when there are any."""
        if count == 0:
            self._queued_since.pop(tier, None)
        else:
            self._queued_since.setdefault(tier, now)

    def wait_s(self, tier: int, count: int, now: float) -> float:
        """Return the expected wait behind `count` holds of a tier; 0 if unknown."""
        since = self._queued_since.get(tier)
        if since is None or now - since < DRAIN_WINDOW_S:
            return 0.0
        served = self._served_at.get(tier, ())
        recent = sum(at > now - DRAIN_WINDOW_S for at in served)
        return count * DRAIN_WINDOW_S / max(recent, 0.5)


DRAIN_WINDOW_S = 4.0
"""Period over which the drain rate is measured."""

MAX_DRAIN_SAMPLES = 4096


@dataclass(slots=True)
class RunProgress:
    """Progress of one run. Times in seconds.

    Attributes:
        backlog_tokens: Tokens to prefill up to and including this run's at its start.
        estimate_s: Estimated duration at its start.
    """

    started_at: float
    uncached_tokens: int
    output_tokens: int
    backlog_tokens: int
    first_token_at: float | None = None
    last_token_at: float = 0.0
    tokens: int = 0
    estimate_s: float = 0.0


@dataclass(slots=True)
class EngineModel:
    """Measured speed and concurrency of one engine.

    Attributes:
        slots: Declared number of requests that the engine runs at once.
        prefill_rate: Prompt tokens per second.
        gap: Seconds between two tokens of one request.
        objective_gap: Gap above which the window shrinks, in seconds.
        window: Number of requests to run at once, at most `slots`.
        output_ratio: Mean ratio of generated tokens to those expected.
        lateness: Mean ratio of a run's duration to its estimate.
        service_s: Mean duration of a run.
        backlog_tokens: Prompt tokens dispatched and not yet prefilled.
    """

    slots: int
    prefill_rate: float
    gap: float
    objective_gap: float
    declared_prefill_rate: float = 0.0
    declared_gap: float = 0.0
    window: float = 0.0
    output_ratio: float = 1.0
    lateness: float = 1.0
    service_s: float = 0.5
    runs: dict[str, RunProgress] = field(default_factory=dict)
    last_progress_at: float = 0.0
    adjusted_at: float = 0.0
    backlog_tokens: int = 0

    def __post_init__(self) -> None:
        """Start from the declared figures."""
        self.declared_prefill_rate = self.prefill_rate
        self.declared_gap = self.gap
        self.window = float(self.slots)

    def prefill_s(self, uncached_tokens: int) -> float:
        """Return the expected time to the first token, after the prefill backlog."""
        return (self.backlog_tokens + uncached_tokens) / self.prefill_rate

    def decode_s(self, output_tokens: int) -> float:
        """Return the expected time to generate an answer."""
        return output_tokens * self.output_ratio * self.gap

    def wait_s(self, ahead: int, free: int) -> float:
        """Return the expected wait with `ahead` holds ahead and `free` free slots."""
        queued = max(0, ahead + 1 - free)
        return queued * self.service_s / max(1.0, self.window)

    def reserved_slots(self) -> int:
        """Return the number of slots reserved for one kind of request."""
        if self.slots < MIN_SLOTS_TO_RESERVE or self.window < MIN_SLOTS_TO_RESERVE:
            return 0
        return max(1, int(self.window * RESERVE_FRACTION))

    def record_start(
        self, rid: str, uncached_tokens: int, output_tokens: int, now: float
    ) -> None:
        """Record a dispatch."""
        if not self.runs:
            self.last_progress_at = now
        estimate_s = self.prefill_s(uncached_tokens) + self.decode_s(output_tokens)
        self.backlog_tokens += uncached_tokens
        run = RunProgress(now, uncached_tokens, output_tokens, self.backlog_tokens)
        run.estimate_s = estimate_s
        self.runs[rid] = run

    def record_tokens(self, rid: str, tokens: int, now: float) -> None:
        """Record tokens received from the engine."""
        self.last_progress_at = now
        run = self.runs.get(rid)
        if run is None:
            return
        if run.first_token_at is None:
            self._record_first_token(run, now)
        elif tokens > 0:
            sample = (now - run.last_token_at) / tokens
            self.gap += SMOOTHING_FACTOR * (sample - self.gap)
        run.last_token_at = now
        run.tokens += tokens

    def record_end(self, rid: str, now: float, *, whole: bool) -> None:
        """Record the end of a run."""
        self.last_progress_at = now
        run = self.runs.pop(rid, None)
        if run is None:
            return
        if run.first_token_at is None:
            self.backlog_tokens -= run.uncached_tokens
        elif whole and run.output_tokens > 0 and run.tokens > 1:
            ratio = min(1.0, run.tokens / run.output_tokens)
            self.output_ratio += SMOOTHING_FACTOR * (ratio - self.output_ratio)
        if whole:
            self._update_lateness(run, now)
            self.service_s += SMOOTHING_FACTOR * (now - run.started_at - self.service_s)

    def is_suspect(self, now: float) -> bool:
        """Return whether a busy engine has made no progress for too long."""
        if not self.runs:
            return False
        expected_s = max(self.gap, self.backlog_tokens / self.prefill_rate)
        limit_s = max(SUSPECT_AFTER_S, SUSPECT_FACTOR * expected_s)
        return now - self.last_progress_at > limit_s

    def is_degraded(self) -> bool:
        """Return whether the engine is much slower than declared."""
        slow_decode = self.gap > DEGRADED_FACTOR * self.declared_gap
        slow_prefill = self.prefill_rate * DEGRADED_FACTOR < self.declared_prefill_rate
        return slow_decode or slow_prefill

    def adjust_window(self, now: float) -> None:
        """Adapt the window to the speed of the engine, at most once a second."""
        if now - self.adjusted_at < ADJUST_INTERVAL_S:
            return
        self.adjusted_at = now
        if (
            self.is_suspect(now)
            or self.runs
            and self.gap > SLOW_GAP_FACTOR * self.objective_gap
        ):
            self.window = max(1.0, self.window * WINDOW_SHRINK_FACTOR)
        else:
            self.window = min(float(self.slots), self.window + 1.0)

    def _update_lateness(self, run: RunProgress, now: float) -> None:
        ratio = (now - run.started_at) / max(run.estimate_s, 1e-3)
        self.lateness += SMOOTHING_FACTOR * (min(ratio, MAX_LATENESS) - self.lateness)

    def pessimistic_s(self, estimate_s: float) -> float:
        """Return an estimate scaled by the lateness of earlier ones and a safety factor."""
        return estimate_s * max(1.0, self.lateness) * ESTIMATE_SAFETY_FACTOR

    def _record_first_token(self, run: RunProgress, now: float) -> None:
        run.first_token_at = now
        self.backlog_tokens -= run.uncached_tokens
        elapsed = now - run.started_at - self.gap
        if run.backlog_tokens >= MIN_PREFILL_SAMPLE_TOKENS and elapsed > 0:
            min_sample = 1 / (4 * self.declared_prefill_rate)
            sample = max(min_sample, elapsed / run.backlog_tokens)
            mean = 1 / self.prefill_rate
            self.prefill_rate = 1 / (mean + SMOOTHING_FACTOR * (sample - mean))
