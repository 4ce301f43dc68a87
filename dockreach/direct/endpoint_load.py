"""What the load that an endpoint reports in its responses is worth at a given moment.

Load pattern: engines share their machines with other programs, so that each is slower by
some factor for moments of half a second, many times a minute and independently of the
others; some are slower for good besides.

An endpoint's health path responds at once and carries the same header, but is not polled
for it. Every response to any entry carries it: an engine in use reports several times a
second without a poll, and one that is not in use has no streams that could stall. A
health check is a request that the endpoint has to serve: 30 entries that poll 28 endpoints
often enough for a report that is valid for 0.3 s would send 2,800 requests a second, where
callers send some 200.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .requests import ReportedLoad

REPORT_VALID_S = 0.3
"""Age at which a report counts for nothing, in seconds: a slow moment is likely to end
before, and a time to a first event that meets its objective is not much longer."""

USUAL_PERCENT = 100
"""The figure of an endpoint at which work takes as long as usual."""

SLOWED_PERCENT = 125
"""Figure above which metrics count an endpoint as slower than usual."""

MIN_COVERED_FRACTION = 0.5
"""Fraction of a measurement during which the figure must be known."""

UNKNOWN_FIGURE_WEIGHT = 0.25
"""Weight of a measurement during which the figure was not known, relative to others."""

PROMPT_REPORT_FRACTION = 0.25
"""Relative change of a figure from which it is passed on at once: several entries'
measurements of the same engine differ by up to twice that."""

MAX_HISTORY = 16
"""Reports that are kept for each endpoint, to normalise measurements; some two seconds at
an endpoint that starts eight requests a second."""


@dataclass(frozen=True, slots=True)
class TimedFigure:
    """A fourth figure, in percent of the usual time, and when it was received.

    Attributes:
        at: Monotonic time, in seconds.
    """

    percent: int = USUAL_PERCENT
    at: float = float("-inf")

    def is_valid(self, now: float) -> bool:
        """Return whether it still counts."""
        return now - self.at < REPORT_VALID_S


@dataclass(slots=True)
class EndpointLoad:
    """The load that one incarnation of an endpoint reported last.

    Attributes:
        report: The latest report; ``None`` before the first one.
        received_at: Monotonic time at which an entry received it, in seconds.
        figure: The latest fourth figure.
        has_varied: Whether a fourth figure above the usual was ever reported. Until then
            all measurements count in full, as at endpoints without the figure.
        hidden_requests: Requests that the endpoint reports beyond those that are known
            here.
        hidden_until: Monotonic time until which these count, in seconds.
    """

    report: ReportedLoad | None = None
    received_at: float = float("-inf")
    figure: TimedFigure = TimedFigure()
    has_varied: bool = False
    hidden_requests: int = 0
    hidden_until: float = float("-inf")
    _history: deque[TimedFigure] = field(default_factory=lambda: deque(maxlen=MAX_HISTORY))
    _is_unsent: bool = False
    _sent_figure: TimedFigure = TimedFigure()

    def record(
        self, report: ReportedLoad, received_at: float, *, is_relayed: bool = False
    ) -> bool:
        """Record a report, unless a newer one is known; return whether it was recorded.

        One that does not have the fourth figure leaves the effect of the last figure to
        decay.

        Args:
            report: The report.
            received_at: Monotonic time at which an entry received it, in seconds.
            is_relayed: Whether it was another entry; such reports are not passed on, since
                their delays would make them look newer each time.
        """
        if received_at < self.received_at:
            return False
        self.report = report
        self.received_at = received_at
        self._is_unsent = not is_relayed
        if report.percent:
            self.figure = TimedFigure(max(report.percent, USUAL_PERCENT), received_at)
            self.has_varied = self.has_varied or report.percent > USUAL_PERCENT
            self._history.append(self.figure)
        return True

    def factor(self, now: float) -> float:
        """Return how much longer than usual work is likely to take there now, 1 or more.

        The effect of a report decays linearly with its age, as it becomes less likely that
        the endpoint is still as slow.
        """
        figure = self.figure
        age_s = max(now - figure.at, 0.0)
        if figure.percent <= USUAL_PERCENT or age_s >= REPORT_VALID_S:
            return 1.0
        excess = figure.percent / USUAL_PERCENT - 1
        return 1 + excess * (1 - age_s / REPORT_VALID_S)

    def present_percent(self, now: float) -> int:
        """Return the figure as it counts at its age; 0 if none is valid."""
        if not self.figure.is_valid(now):
            return 0
        return round(self.factor(now) * USUAL_PERCENT)

    def mean_percent(self, start: float, end: float) -> float:
        """Return the mean figure during a measurement; 0 if it is not known.

        The figure of a moment is that of the nearest report, before or after it: the head
        of a stream's response precedes its work, and that of a plain response follows it.

        Args:
            start: Monotonic time at which the measurement began, in seconds.
            end: Monotonic time at which it ended, in seconds.
        """
        covered_s = usual_s = 0.0
        figures = list(self._history)
        for index, figure in enumerate(figures):
            first = figure.at - REPORT_VALID_S
            last = figure.at + REPORT_VALID_S
            if index:
                first = max(first, (figures[index - 1].at + figure.at) / 2)
            if index + 1 < len(figures):
                last = min(last, (figure.at + figures[index + 1].at) / 2)
            overlap_s = min(last, end) - max(first, start)
            if overlap_s > 0:
                covered_s += overlap_s
                usual_s += overlap_s * USUAL_PERCENT / figure.percent
        if not covered_s or covered_s < MIN_COVERED_FRACTION * (end - start):
            return 0.0
        return USUAL_PERCENT * covered_s / usual_s

    def weight(self, percent: float) -> float:
        """Return the weight of a measurement, 1 or less.

        Args:
            percent: The figure during the measurement; 0 if not known.
        """
        return 1.0 if percent or not self.has_varied else UNKNOWN_FIGURE_WEIGHT

    def count_hidden(self, known: int, slots: int) -> bool:
        """Count requests that the latest report shows beyond those known here.

        Only endpoints that report four figures are believed.

        Args:
            known: Requests known to be in flight there, without hidden ones.
            slots: Slots of the endpoint; no more hidden requests than these are counted.

        Returns:
            Whether there are any.
        """
        report = self.report
        if report is None or not report.percent:
            self.hidden_requests = 0
            return False
        hidden = min(report.running + report.waiting - known, slots)
        self.hidden_requests = max(hidden, 0)
        self.hidden_until = self.received_at + REPORT_VALID_S
        return self.hidden_requests > 0

    def expire_hidden(self, now: float) -> bool:
        """Stop counting hidden requests after their time; return whether any are left."""
        if now >= self.hidden_until:
            self.hidden_requests = 0
        return self.hidden_requests > 0

    def is_news(self, now: float) -> bool:
        """Return whether the latest figure is to be passed on at once.

        A figure that was passed on so long ago that it no longer counts is compared as the
        usual one.
        """
        if not self._is_unsent or not self.figure.is_valid(now):
            return False
        sent = self._sent_figure.percent if self._sent_figure.is_valid(now) else 0
        sent = sent or USUAL_PERCENT
        return abs(self.figure.percent - sent) >= PROMPT_REPORT_FRACTION * sent

    def take_unsent(self, now: float) -> ReportedLoad | None:
        """Return the latest report if it was not passed on yet and still counts."""
        if not self._is_unsent:
            return None
        self._is_unsent = False
        if now - self.received_at >= REPORT_VALID_S:
            return None
        if self.report is not None and self.report.percent:
            self._sent_figure = self.figure
        return self.report


def usual_duration_s(seconds: float, percent: float) -> float:
    """Return how long something that was measured usually takes, in seconds.

    Args:
        seconds: The measured time, in seconds.
        percent: The figure during the measurement; 0 if not known.
    """
    return seconds * USUAL_PERCENT / percent if percent > USUAL_PERCENT else seconds
