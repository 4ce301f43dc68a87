"""Metrics of a daemon in the Prometheus text format."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import fields
from typing import Any, NamedTuple

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from . import clock

ACCEPTED_CONTENT_TYPES = ("text/plain",)

HISTOGRAM_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
"""Upper bounds of histogram buckets, in seconds: dense around the users' objectives of 0.15
to 1 s, and up to their longest deadline."""


class Sample(NamedTuple):
    """One value of a metric.

    Attributes:
        name: Name of the metric.
        help: Description of the metric.
        value: Current value.
        labels: Labels of the value.
        is_counter: Whether the metric is a counter; otherwise it is a gauge.
    """

    name: str
    help: str
    value: float
    labels: dict[str, str]
    is_counter: bool = True


class Metrics:
    """Renders the metrics page of a daemon.

    Counters and gauges are sampled from the daemon's own state whenever the page is
    requested, so that there is no second copy to keep in step. Histograms are kept here.

    Args:
        daemon: Name of the daemon, used as a label of every metric.
    """

    def __init__(self, daemon: str) -> None:
        self._registry = Registry()
        self._histograms: dict[str, Any] = {}
        self._sample_collectors: dict[str, Any] = {}
        self._daemon = daemon

    def observe(
        self, name: str, description: str, value: float, labels: dict[str, str]
    ) -> None:
        """Add a value to a histogram.

        Args:
            name: Name of the histogram.
            description: Description of the histogram.
            value: Value in seconds.
            labels: Labels of the value.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                name,
                description,
                const_labels={"daemon": self._daemon},
                registry=self._registry,
                buckets=list(HISTOGRAM_BUCKETS_S),
            )
            self._histograms[name] = histogram
        histogram.observe(labels, value)

    def render_page(self, samples: Iterable[Sample]) -> tuple[bytes, str]:
        """Return the metrics page of the given samples, and its content type."""
        # Without this, a label set that is no longer sampled would keep its last value.
        for collector in self._sample_collectors.values():
            collector.values.clear()
        for sample in samples:
            self._collector(sample).set(sample.labels, sample.value)
        body, headers = render(self._registry, ACCEPTED_CONTENT_TYPES)
        return body, headers["Content-Type"]

    def _collector(self, sample: Sample) -> Any:  # noqa: ANN401
        collector = self._sample_collectors.get(sample.name)
        if collector is None:
            collector_type = Counter if sample.is_counter else Gauge
            collector = collector_type(
                sample.name,
                sample.help,
                const_labels={"daemon": self._daemon},
                registry=self._registry,
            )
            self._sample_collectors[sample.name] = collector
        return collector


def counter_samples(prefix: str, counters: Any) -> Iterable[Sample]:  # noqa: ANN401
    """Return a sample for each integer field of a dataclass of counters."""
    for item in fields(counters):
        value = getattr(counters, item.name)
        if isinstance(value, int):
            text = f"Count of {item.name.replace('_', ' ')}"
            yield Sample(f"dockreach_{prefix}_{item.name}_total", text, value, {})


def process_samples(started_at: float) -> Iterable[Sample]:
    """Return samples of this process: uptime, processor time and memory."""
    yield Sample(
        "dockreach_uptime_seconds",
        "Seconds since the start",
        clock.now() - started_at,
        {},
        is_counter=False,
    )
    yield Sample("dockreach_cpu_seconds_total", "Processor time", time.process_time(), {})
    yield Sample(
        "dockreach_resident_bytes",
        "Resident memory",
        _resident_bytes(),
        {},
        is_counter=False,
    )


def _resident_bytes() -> float:
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * 4096.0
