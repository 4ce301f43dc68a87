"""Forecasts how many slots running streams will free for a tier, and when.

Load pattern: a surge, or a third of the engines slow. The rate at which slots were assigned
in the last second then says little about the next half second: in the first moments of a
surge it contains the slots that were free before, and engines that have become slow or that
have stopped still count with what they did before.

The forecast is valid only where callers state the expected lengths of their streams;
elsewhere `Pressure` counts. A caller's estimate is right in the median and often off by a
factor of two, so that the end of a stream is not a moment but a range: from half of the
estimate to five thirds of it, with the estimate in the middle. A stream that has run past
its estimate goes on for a third of its length so far in the mean: half of these streams end
within a fifth. The expected number of slots is then a continuous function of the time
ahead, and the time until a number of slots is its inverse.

A slot that the tier itself or a higher one gets in that time is free again after a mean
stream of that tier. Arrivals of higher tiers are expected as in the last seconds; they take
the slots that are reserved for them first.

The streams of entries that do not request their slots here count as occupying slots, and
free none: these entries assign the freed slots again themselves. Where there are many of
them, as for entries that decide alone, slots go to and fro between entries, so that no
forecast is valid.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from dataclasses import dataclass, field
from itertools import accumulate
from typing import NamedTuple

from .endpoint_selection import EndpointSelector
from .endpoints import EndpointRow, EndpointTable
from .jobs import Job
from .pressure import RATE_WINDOW_S, Pressure, Rank
from .slot_client import HOLDING_INTERVAL_S
from .tier_reserve import TierReserve
from .work_left import EARLIEST_END, LATEST_END, overdue_s

CELL_S = 0.04
"""Resolution of a forecast, in seconds: the time of two events of a stream."""

FORECAST_TTL_S = CELL_S
"""How long a forecast is used, in seconds: what is known of other entries' streams is up to
`HOLDING_INTERVAL_S` old, and a surge calls for hundreds of rounds a second."""

MAX_MEAN_EVENTS = 2000.0
"""Largest length of a stream that counts in the mean, in events: 30 s at the gap that is
assumed before any measurement, longer than callers wait."""

CELLS = 200
"""Number of steps of a forecast: 8 s, in which most streams end that run now. Beyond them
the rate of the last steps goes on."""

MEAN_WEIGHT = 1 / 64
"""Weight of a new request in the mean request of a tier: those of a second or so."""

MAX_ELSEWHERE_FRACTION = 1 / 3
"""Largest fraction of the requests in flight that may be of entries that do not request
their slots here. With four entries that decide alone, a forecast from each entry's own
streams refused up to a twelfth of a high tier that the last second's rate admitted."""

OVERRUN_FRACTION = 1 / 3
"""Time for which something goes on in the mean that has taken longer than expected, as a
fraction of its time so far."""

OVERRUN_MEDIAN = 1 / 5
OVERRUN_MAX = 14 / 15
"""Median and maximum of the same for a stream past its estimate; the mean is
`OVERRUN_FRACTION`, since a few of these streams go on for long."""

MIN_GAP_S = 1e-5
"""Lower bound of the time between events, in seconds; events that were read together may
have been measured as simultaneous."""


LEAST_CHANCE = 0.1
"""Probability of a slot in time below which a caller is sent away at once: it keeps its
time for another attempt, and gives up hardly anything for it."""

CHANCE_DEVIATIONS = 1.28
"""The same as standard deviations of the number of slots."""


class Chance(NamedTuple):
    """How likely a job is to get a slot.

    Attributes:
        ahead: Jobs that are likely to get slots before it.
        slots: Slots expected for its tier within the given time.
    """

    ahead: float
    slots: float

    @property
    def is_real(self) -> bool:
        """Whether the job gets one of these slots with the probability `LEAST_CHANCE`.

        The number of slots is taken for a Poisson number.
        """
        likely_most = self.slots + 1 / 3 + CHANCE_DEVIATIONS * math.sqrt(self.slots)
        return self.ahead + 1 <= likely_most


class JobsAhead:
    """Jobs of one service that a scheduling round has left waiting so far.

    Attributes:
        total: The number of all jobs.
    """

    def __init__(self) -> None:
        self.total = 0
        self._of_rank: dict[Rank, int] = {}
        self._restricted: dict[frozenset[str], int] = {}

    def add(self, job: Job) -> None:
        """Count a job that goes on waiting."""
        self.total += 1
        self._of_rank[job.rank] = self._of_rank.get(job.rank, 0) + 1
        halls = job.allowed_halls
        if halls is not None:
            self._restricted[halls] = self._restricted.get(halls, 0) + 1

    def of_rank(self, rank: Rank) -> int:
        """Return the number of jobs of one tier."""
        return self._of_rank.get(rank, 0)

    @property
    def unrestricted(self) -> int:
        """The number of jobs that may run in all data halls."""
        return self.total - (sum(self._restricted.values()) if self._restricted else 0)

    @property
    def restricted(self) -> dict[frozenset[str], int]:
        """The number of the other jobs, by the data halls in which they may run."""
        return self._restricted


class _Ending(NamedTuple):
    """When a running stream is likely to end.

    Attributes:
        mean_s: Mean time until then, in seconds.
        start: Step of the forecast from which it may end.
        middle: Step at which its caller's estimate is reached.
        end: Step by which it has ended.
        before_middle: Probability that it ends by `middle`.
    """

    mean_s: float
    start: int
    middle: int
    end: int
    before_middle: float


@dataclass(slots=True)
class _Supply:
    """The slots of one endpoint.

    Attributes:
        can_send: Whether it may be sent a request now.
        max_free: Most free slots that count at once.
        endings: When the streams that run there are likely to end, the earliest first.
        limited_per_s: Rate that it limits requests to, in requests per second; 0 for none.
        limited_s: Time until the next request that the limit allows, in seconds.
    """

    row: EndpointRow
    can_send: bool = True
    max_free: float = math.inf
    endings: list[_Ending] = field(default_factory=list)
    limited_per_s: float = 0.0
    limited_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Curve:
    """Expected slots as a function of the time ahead.

    Attributes:
        slots: Expected slots at each step.
        slots_per_s: Rate beyond the last step.
        reserve: Slots reserved for higher tiers that are free at each step, less those that
            new jobs of higher tiers take; negative if these take others too.
    """

    slots: list[float]
    slots_per_s: float
    reserve: list[float]

    def at(self, span_s: float) -> float:
        """Return the slots expected within a time, in seconds."""
        position = max(span_s, 0.0) / CELL_S
        if position >= CELLS:
            return self.slots[-1] + (position - CELLS) * CELL_S * self.slots_per_s
        step = int(position)
        before = self.slots[step]
        return before + (position - step) * (self.slots[step + 1] - before)

    def reserve_at(self, span_s: float) -> float:
        """Return `reserve` after a time, in seconds."""
        return self.reserve[min(round(max(span_s, 0.0) / CELL_S), CELLS)]

    def time_until(self, slots: float) -> float:
        """Return the first time at which a number of slots is expected, in seconds."""
        step = bisect_left(self.slots, slots)
        if step == 0:
            return 0.0
        if step <= CELLS:
            before = self.slots[step - 1]
            return CELL_S * (step - 1 + (slots - before) / (self.slots[step] - before))
        if not self.slots_per_s:
            return math.inf
        return CELL_S * CELLS + (slots - self.slots[-1]) / self.slots_per_s


@dataclass(slots=True)
class _MeanRequest:
    """Mean of some requests."""

    events: float
    prompt_tokens: float

    def update(self, job: Job) -> None:
        # One absurd estimate would otherwise shift the mean for hundreds of requests.
        events = min(job.expected_events, MAX_MEAN_EVENTS)
        self.events += MEAN_WEIGHT * (events - self.events)
        self.prompt_tokens += MEAN_WEIGHT * (job.prompt_tokens - self.prompt_tokens)


@dataclass(slots=True)
class _ServiceForecast:
    """The forecast of one service.

    Attributes:
        made_at: Monotonic time at which it was made, in seconds.
        is_valid: Whether the lengths of enough streams are known.
        assigned: Slots assigned since, by tier.
        mean: Mean of the requests that hold slots and whose lengths are known.
        freed: Changes, from step to step, of the rate at which running streams end, by
            data halls.
        curves: Expected slots by tier and data halls.
    """

    made_at: float
    is_valid: bool
    supplies: list[_Supply]
    mean: _MeanRequest | None = None
    assigned: dict[Rank, int] = field(default_factory=dict)
    freed: dict[frozenset[str] | None, list[float]] = field(default_factory=dict)
    curves: dict[tuple[Rank, frozenset[str] | None], _Curve | None] = field(
        default_factory=dict
    )

    def assigned_to(self, rank: Rank) -> int:
        """Return how many slots a tier and lower ones got since the forecast was made.

        Those that higher tiers got are expected as their arrivals.
        """
        return sum(count for other, count in self.assigned.items() if other >= rank)


class SlotForecast:
    """Forecasts slots from the streams that hold them, by service and tier.

    Args:
        endpoints: The endpoints that have slots.
        selector: Says how many requests endpoints are sent.
        pressure: Says how many jobs of higher tiers arrive.
        reserve: Says how many slots are kept for these.
    """

    def __init__(
        self,
        endpoints: EndpointTable,
        selector: EndpointSelector,
        pressure: Pressure,
        reserve: TierReserve,
    ) -> None:
        self._endpoints = endpoints
        self._selector = selector
        self._pressure = pressure
        self._reserve = reserve
        self._forecasts: dict[str, _ServiceForecast] = {}
        self._means: dict[str, dict[Rank, _MeanRequest]] = {}

    def record_assignment(self, job: Job) -> None:
        """Record that a job got a slot."""
        forecast = self._forecasts.get(job.service)
        if forecast is not None:
            forecast.assigned[job.rank] = forecast.assigned.get(job.rank, 0) + 1
        if job.expected_events > 0:
            means = self._means.setdefault(job.service, {})
            mean = means.get(job.rank)
            if mean is None:
                mean = _MeanRequest(job.expected_events, float(job.prompt_tokens))
                means[job.rank] = mean
            mean.update(job)

    def expected_slots(
        self,
        service: str,
        rank: Rank,
        span_s: float,
        now: float,
        halls: frozenset[str] | None = None,
    ) -> float | None:
        """Return how many slots a tier is expected to get in the next seconds.

        Args:
            service: The service.
            rank: The tier. Jobs of higher tiers that arrive in that time go first; those
                that wait already are not subtracted.
            span_s: Length of the time ahead, in seconds.
            now: Monotonic time, in seconds.
            halls: Data halls of the slots; ``None`` for all.

        Returns:
            The expected number; ``None`` if the lengths of the running streams are not
            known, or if no endpoint is usable.
        """
        forecast = self._forecast(service, now)
        curve = self._curve(forecast, service, rank, halls)
        if curve is None:
            return None
        return max(curve.at(span_s) - forecast.assigned_to(rank), 0.0)

    def time_until(
        self,
        service: str,
        rank: Rank,
        slots: float,
        now: float,
        halls: frozenset[str] | None = None,
    ) -> float:
        """Return the time until a tier is expected to have got some slots, in seconds.

        Args:
            service: The service.
            rank: The tier, as for `expected_slots`.
            slots: The number of slots.
            now: Monotonic time, in seconds.
            halls: Data halls of the slots; ``None`` for all.

        Returns:
            The time; infinite if it is not foreseeable.
        """
        if slots <= 0:
            return 0.0
        forecast = self._forecast(service, now)
        curve = self._curve(forecast, service, rank, halls)
        if curve is None:
            per_second = self._pressure.expected_slots(service, rank, 1.0, now)
            return slots / per_second if per_second else math.inf
        return curve.time_until(slots + forecast.assigned_to(rank))

    def chance(
        self, job: Job, ahead: JobsAhead, span_s: float, now: float
    ) -> Chance | None:
        """Return how likely a job is to get a slot within a time.

        Args:
            job: The job.
            ahead: The jobs that are before it in the queue.
            span_s: The time in which it needs a slot, in seconds.
            now: Monotonic time, in seconds.

        Returns:
            The chance; ``None`` if the expected slots are not known.
        """
        forecast = self._forecast(job.service, now)
        curve = self._curve(forecast, job.service, job.rank, job.allowed_halls)
        if curve is None:
            return None
        slots = max(curve.at(span_s) - forecast.assigned_to(job.rank), 0.0)
        competing = self._count_competing(job, ahead, span_s, slots, now)
        # Waiting jobs of higher tiers take reserved slots first.
        reserve = curve.reserve_at(span_s)
        higher = max(competing - ahead.of_rank(job.rank), 0.0)
        competing -= min(max(reserve, 0.0), higher)
        return Chance(competing, slots)

    def _count_competing(
        self, job: Job, ahead: JobsAhead, span_s: float, slots: float, now: float
    ) -> float:
        """Return how many jobs ahead are likely to take slots that a job could get.

        Jobs that may run in some data halls only take no more than the slots there. Those
        that may run anywhere take the share of the slots that these halls have.
        """
        halls = job.allowed_halls
        competing = float(ahead.unrestricted)
        if halls is not None and competing:
            total = self.expected_slots(job.service, job.rank, span_s, now)
            competing *= min(slots / total, 1.0) if total else 1.0
        for others, count in ahead.restricted.items():
            if others == halls:
                competing += count
            elif halls is None or others & halls:
                theirs = self.expected_slots(job.service, job.rank, span_s, now, others)
                competing += min(count, theirs or 0.0)
        return competing

    def _forecast(self, service: str, now: float) -> _ServiceForecast:
        forecast = self._forecasts.get(service)
        if forecast is None or not 0 <= now - forecast.made_at < FORECAST_TTL_S:
            forecast = self._new_forecast(service, now)
            self._forecasts[service] = forecast
        return forecast

    def _new_forecast(self, service: str, now: float) -> _ServiceForecast:
        rows = [
            row
            for row in self._endpoints.accepting(service, None)
            if row.circuit_open_until <= now
        ]
        held = [job for row in rows for job in row.held_by]
        known = [job for job in held if job.is_length_estimated]
        elsewhere = sum(row.in_flight_elsewhere for row in rows)
        if (
            not known
            or 2 * len(known) < len(held)
            or elsewhere > MAX_ELSEWHERE_FRACTION * (elsewhere + len(held))
        ):
            return _ServiceForecast(now, is_valid=False, supplies=[])
        mean = _MeanRequest(
            sum(job.expected_events for job in known) / len(known),
            sum(job.prompt_tokens for job in known) / len(known),
        )
        supplies = [
            supply for row in rows if (supply := self._supply(row, mean, now)) is not None
        ]
        return _ServiceForecast(
            now,
            is_valid=True,
            supplies=supplies,
            mean=mean,
        )

    def _supply(self, row: EndpointRow, mean: _MeanRequest, now: float) -> _Supply | None:
        """Return the slots of an endpoint; ``None`` if it gets no requests for now."""
        if not row.admits_request:
            return None
        supply = _Supply(row)
        guard = self._selector.guard
        if guard is not None:
            if guard.is_cold(row, now) or row.advertised.backoff_until > now:
                return None
            limit = row.advertised.limit
            if limit.is_active:
                block = guard.send_block(row, now)
                supply.can_send = block is None
                supply.max_free = 1.0
                supply.limited_per_s = limit.send_rate
                supply.limited_s = (
                    1 / limit.send_rate if block is None else block.until - now
                )
                return supply
            supply.can_send = guard.has_budget(row, now)
        if row.consecutive_failures:
            # One request probes whether it works again.
            supply.max_free = 1.0
            return supply
        slots = row.published.slots
        running = list(row.held_by)[: max(slots - row.in_flight_elsewhere, 0)]
        if _is_stalled_engine(running, row, now):
            return supply
        mean_s = row.speed.stream_s(mean.prompt_tokens, mean.events)
        endings = [_ending(job, row, mean_s, now) for job in running]
        supply.endings = sorted(ending for ending in endings if ending is not None)
        for number, job in enumerate(list(row.held_by)[len(running) :]):
            if number < len(supply.endings):
                before = supply.endings[number]
                supply.endings.append(_queued_ending(job, row, before, mean))
        return supply

    def _curve(
        self,
        forecast: _ServiceForecast,
        service: str,
        rank: Rank,
        halls: frozenset[str] | None,
    ) -> _Curve | None:
        if not forecast.is_valid:
            return None
        key = (rank, halls)
        if key in forecast.curves:
            return forecast.curves[key]
        supplies = [
            supply
            for supply in forecast.supplies
            if halls is None or supply.row.published.hall in halls
        ]
        if halls not in forecast.freed:
            forecast.freed[halls] = [0.0] * (CELLS + 1)
            for supply in supplies:
                for ending in supply.endings:
                    _add_ending(forecast.freed[halls], ending)
        freed = list(forecast.freed[halls])
        curve = (
            self._new_curve(forecast, supplies, freed, service, rank) if supplies else None
        )
        forecast.curves[key] = curve
        return curve

    def _new_curve(
        self,
        forecast: _ServiceForecast,
        supplies: list[_Supply],
        freed: list[float],
        service: str,
        rank: Rank,
    ) -> _Curve:
        now = forecast.made_at
        reserved = self._reserve.slots(service, rank, now)
        free = 0.0
        free_limited = 0.0
        limited = [0.0] * (CELLS + 1)
        freed_reserved = [0.0] * (CELLS + 1)
        endings: list[_Ending] = []
        for supply in supplies:
            row = supply.row
            room = self._selector.max_requests(row, reserved) - row.in_flight
            now_free = min(max(room, 0), supply.max_free) if supply.can_send else 0.0
            if supply.limited_per_s:
                free_limited += now_free
                _add_rate(limited, supply.limited_s, supply.limited_per_s)
                continue
            free += now_free
            # Streams beyond the slots of an endpoint leave no slot when they end.
            excess = max(-room, 0)
            for ending in supply.endings[:excess]:
                _add_ending(freed, ending, -1.0)
            endings.extend(supply.endings[excess:])
        share = _count_slots(supplies) / max(_count_slots(forecast.supplies), 1)
        kept_in_all = reserved * share
        kept_now = min(kept_in_all, free)
        free -= kept_now
        # The next streams that end free the other slots that are kept for higher tiers.
        missing = round(kept_in_all - kept_now)
        for ending in sorted(endings)[:missing]:
            _add_ending(freed_reserved, ending)
            _add_ending(freed, ending, -1.0)
        taken = self._taken_by_higher(forecast, supplies, service, rank)
        gained = accumulate(accumulate(freed[:CELLS]), initial=free)
        left = accumulate(accumulate(freed_reserved[:CELLS]), initial=kept_now)
        reserve = [kept - higher for kept, higher in zip(left, taken, strict=True)]
        usable = [
            slots + min(kept, 0.0) for slots, kept in zip(gained, reserve, strict=True)
        ]
        own_s = self._mean_stream_s(forecast, supplies, service, rank)
        held = max(round(own_s / CELL_S), 1)
        slots = _with_turnover(usable, held)
        by_limit = accumulate(accumulate(limited[:CELLS]), initial=free_limited)
        total = [a + b for a, b in zip(slots, by_limit, strict=True)]
        last = min(held, CELLS)
        return _Curve(total, (total[-1] - total[-1 - last]) / (last * CELL_S), reserve)

    def _taken_by_higher(
        self,
        forecast: _ServiceForecast,
        supplies: list[_Supply],
        service: str,
        rank: Rank,
    ) -> list[float]:
        """Return how many slots new jobs of higher tiers hold at each step.

        Some endpoints get a part of them, by their slots.
        """
        changes = [0.0] * (CELLS + 1)
        share = _count_slots(supplies) / max(_count_slots(forecast.supplies), 1)
        rates = self._pressure.expected_arrivals(service, rank, forecast.made_at)
        for other, (first_per_s, later_per_s) in rates.items():
            stream_s = self._mean_stream_s(forecast, supplies, service, other)
            change_per_s = later_per_s - first_per_s
            for start_s, sign in ((0.0, share), (stream_s, -share)):
                _add_rate(changes, start_s, sign * first_per_s)
                _add_rate(changes, start_s + RATE_WINDOW_S, sign * change_per_s)
        return list(accumulate(accumulate(changes[:CELLS]), initial=0.0))

    def _mean_stream_s(
        self,
        forecast: _ServiceForecast,
        supplies: list[_Supply],
        service: str,
        rank: Rank,
    ) -> float:
        """Return for how long a request of a tier holds a slot in the mean, in seconds.

        The mean is taken over the slots that are free again in a given time, of which slow
        endpoints have fewer.
        """
        mean = self._means.get(service, {}).get(rank) or forecast.mean
        assert mean is not None
        per_s = sum(
            row.published.slots / row.speed.stream_s(mean.prompt_tokens, mean.events)
            for row in (supply.row for supply in supplies)
        )
        return _count_slots(supplies) / per_s if per_s else CELLS * CELL_S


def _count_slots(supplies: list[_Supply]) -> int:
    return sum(supply.row.published.slots for supply in supplies)


def _with_turnover(usable: list[float], held: int) -> list[float]:
    """Return the slots that a tier gets at each step, with those that it frees again.

    Args:
        usable: Slots that it may hold at each step, without its own new jobs.
        held: Number of steps for which each of its jobs holds a slot.
    """
    slots = [max(usable[0], 0.0)]
    for step in range(1, len(usable)):
        freed = slots[step - held] if step >= held else 0.0
        slots.append(max(slots[-1], usable[step] + freed))
    return slots


def _add_ending(steps: list[float], ending: _Ending, slots: float = 1.0) -> None:
    """Add the slots that a stream frees to the changes of the gain at each step."""
    _, start, middle, end, before_middle = ending
    if start >= CELLS:
        return
    first = slots * before_middle / (middle - start)
    steps[start] += first
    if middle >= CELLS:
        return
    second = slots * (1 - before_middle) / (end - middle)
    steps[middle] += second - first
    steps[min(end, CELLS)] -= second


def _add_rate(steps: list[float], start_s: float, per_s: float) -> None:
    """Add slots that come at a constant rate from a time on."""
    steps[min(round(start_s / CELL_S), CELLS)] += per_s * CELL_S


def _queued_ending(
    job: Job, row: EndpointRow, before: _Ending, mean: _MeanRequest
) -> _Ending:
    """Return when a job that waits for another one at its endpoint is likely to end."""
    start_s = before.mean_s + row.speed.first_event_s(job.prompt_tokens)
    events = job.expected_events if job.is_length_estimated else mean.events
    stream_s = max(events, 1.0) * row.speed.gap_s
    return _to_ending(
        start_s + EARLIEST_END * stream_s,
        start_s + stream_s,
        start_s + LATEST_END * stream_s,
        0.5,
    )


def _ending(job: Job, row: EndpointRow, mean_stream_s: float, now: float) -> _Ending | None:
    """Return when a job is likely to end; ``None`` if that cannot be foreseen."""
    if not job.is_length_estimated:
        # It is somewhere in its stream, which has the mean length.
        return _to_ending(0.0, mean_stream_s / 2, mean_stream_s, 0.5)
    if _is_stalled(job, row, now):
        return None
    gap_s = max(row.speed.gap_s, MIN_GAP_S)
    expected = max(job.expected_events, 1.0)
    wait_s = 0.0
    # A resumed stream has had events before its first one here.
    done = float(job.events)
    if _has_first_event(job):
        done += (now - job.events_at) / gap_s
    else:
        wait_s = _first_event_at(job, row) - now
        if wait_s < 0:
            wait_s = (now - job.slot_at) * OVERRUN_FRACTION
    if done >= expected:
        so_far_s = done * gap_s
        return _to_ending(0.0, OVERRUN_MEDIAN * so_far_s, OVERRUN_MAX * so_far_s, 0.5)
    earliest = EARLIEST_END * expected
    passed = max(done - earliest, 0.0) / (expected - earliest) / 2
    return _to_ending(
        wait_s + max(earliest - done, 0.0) * gap_s,
        wait_s + (expected - done) * gap_s,
        wait_s + (LATEST_END * expected - done) * gap_s,
        (0.5 - passed) / (1 - passed),
    )


def _to_ending(
    start_s: float, middle_s: float, end_s: float, before_middle: float
) -> _Ending:
    start = int(start_s / CELL_S + 0.5)
    middle = max(int(middle_s / CELL_S + 0.5), start + 1)
    end = max(int(end_s / CELL_S + 0.5), middle + 1)
    mean_s = (
        before_middle * (start_s + middle_s) + (1 - before_middle) * (middle_s + end_s)
    ) / 2
    return _Ending(mean_s, start, middle, end, before_middle)


def _has_first_event(job: Job) -> bool:
    return job.events_at >= job.slot_at and job.events > 0


def _first_event_at(job: Job, row: EndpointRow) -> float:
    """Return when the first event of a job was expected as it got its slot."""
    tokens = job.prefill_ahead + (job.prefill_tokens or job.prompt_tokens)
    return job.slot_at + row.speed.first_event_s(tokens)


def _is_stalled(job: Job, row: EndpointRow, now: float) -> bool:
    """Return whether a stream's next event is overdue."""
    if not _has_first_event(job):
        expected_s = _first_event_at(job, row) - job.slot_at
        return now - job.slot_at > overdue_s(expected_s)
    return now - job.events_at > overdue_s(row.speed.gap_s) + HOLDING_INTERVAL_S


def _is_stalled_engine(running: list[Job], row: EndpointRow, now: float) -> bool:
    """Return whether all streams of an engine that had events have stopped."""
    streams = [job for job in running if job.is_length_estimated and _has_first_event(job)]
    return bool(streams) and all(_is_stalled(job, row, now) for job in streams)
