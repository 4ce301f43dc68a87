"""What reported loads are worth, and what is learned from measurements at slow moments."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator
from statistics import mean

import pytest

from dockreach.direct.endpoint_load import REPORT_VALID_S, EndpointLoad
from dockreach.direct.endpoints import EndpointRow, EndpointTable, Published
from dockreach.direct.requests import ReportedLoad
from dockreach.direct.slot_messages import LoadReport, SampleKind

from .core_builders import dispatcher, endpoints, job

MOMENT_S = 0.6


def load(percent: int, *, running: int = 1, waiting: int = 0) -> ReportedLoad:
    return ReportedLoad(running, waiting, 5, percent)


def only_row(table: EndpointTable) -> EndpointRow:
    (row,) = table
    return row


def test_the_effect_of_a_report_decays_to_nothing_with_its_age() -> None:
    state = EndpointLoad()
    state.record(load(250), 10.0)
    ages = (0.0, 0.15, 0.2999, REPORT_VALID_S, 5.0)
    factors = [state.factor(10.0 + age) for age in ages]
    assert factors == pytest.approx([2.5, 1.75, 1.0, 1.0, 1.0], abs=0.001)
    assert [state.present_percent(10.0 + age) for age in (0.15, 0.31)] == [175, 0]


def test_a_figure_never_makes_an_endpoint_look_better() -> None:
    state = EndpointLoad()
    state.record(load(40), 10.0)
    assert state.factor(10.0) == 1.0
    assert state.present_percent(10.0) == 100


def test_a_report_that_arrives_late_does_not_replace_a_newer_one() -> None:
    state = EndpointLoad()
    state.record(load(100), 10.2)
    assert not state.record(load(400), 10.1, is_relayed=True)
    assert state.factor(10.2) == 1.0


def test_a_report_without_the_figure_leaves_the_last_one_to_decay() -> None:
    state = EndpointLoad()
    state.record(load(250), 10.0)
    state.record(load(0), 10.15)
    assert state.factor(10.15) == pytest.approx(1.75)


@pytest.mark.parametrize(
    ("reports", "percent"),
    [
        # The head of a stream precedes its work; a plain response follows it.
        ([(10.0, 250)], 250),
        ([(10.2, 250)], 250),
        # The moment ended halfway: 0.1 s at 250 percent did as much as 0.04 s at 100.
        ([(10.05, 250), (10.15, 100)], 143),
        ([], 0),
        ([(9.5, 250)], 0),
        ([(9.75, 250)], 0),
    ],
)
def test_the_figure_during_a_measurement(
    reports: list[tuple[float, int]], percent: int
) -> None:
    state = EndpointLoad()
    for at, figure in reports:
        state.record(load(figure), at)
    assert round(state.mean_percent(10.0, 10.2)) == percent


class SimulatedEngine:
    """An engine with a usual speed and slow moments, which measures its own work.

    Args:
        factor: Factor on all times, for good.
        slow_fraction: Fraction of the moments in which it is slower by 2.5 besides.
        seed: Seed of the moments.
    """

    def __init__(self, factor: float, slow_fraction: float, seed: int) -> None:
        self._factor = factor
        rng = random.Random(seed)
        self._moments = [2.5 if rng.random() < slow_fraction else 1.0 for _ in range(300)]

    def percent(self, now: float) -> int:
        """Return the figure that it reports."""
        return round(100 * self._moments[int(now / MOMENT_S)])

    def end_of(self, work_s: float, now: float) -> float:
        """Return when some work ends."""
        left_s = work_s * self._factor
        while left_s > 0:
            step_s = min(left_s * self.percent(now) / 100, 0.005)
            left_s -= step_s * 100 / self.percent(now)
            now += step_s
        return now


def learned_factors(engine: SimulatedEngine, *, uses_loads: bool) -> Iterator[EndpointRow]:
    """Yield the row of an endpoint at which six streams start in a second, over 60 s."""
    row = only_row(endpoints(5))
    rng = random.Random(5)
    pending: list[tuple[float, int, Callable[[], None]]] = []
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(6.0)
        while pending and pending[0][0] <= now:
            heapq.heappop(pending)[2]()
        if uses_loads:
            row.load.record(load(engine.percent(now)), now)
        first = engine.end_of(0.06 + 2000 * 3e-5, now)
        second = engine.end_of(10 * 0.015, first)
        third = engine.end_of(10 * 0.015, second)

        def measure(kind: SampleKind, start: float, end: float) -> Callable[[], None]:
            per = 10 if kind is SampleKind.GAP else 1
            return lambda: row.record_measurement(
                kind, (end - start) / per, 2000, row.load.mean_percent(start, end)
            )

        for kind, start, end in (
            (SampleKind.FIRST_EVENT, now, first),
            (SampleKind.GAP, first, second),
            (SampleKind.GAP, second, third),
            (SampleKind.PLAIN, now, first),
        ):
            heapq.heappush(pending, (end, len(pending), measure(kind, start, end)))
        if now > 20.0:
            yield row


@pytest.mark.parametrize(
    ("factor", "slow_fraction"), [(3.0, 0.0), (1.0, 0.15), (3.0, 0.15), (1.0, 0.0)]
)
@pytest.mark.parametrize("seed", range(4))
def test_an_engine_that_is_slow_for_good_is_told_from_one_slow_for_moments(
    factor: float, slow_fraction: float, seed: int
) -> None:
    engine = SimulatedEngine(factor, slow_fraction, seed)
    firsts, gaps, plains = [], [], []
    for row in learned_factors(engine, uses_loads=True):
        firsts.append(row.speed.first_event_s(2000) / 0.12)
        gaps.append(row.speed.gap_s / 0.015)
        plains.append(row.plain_s / 0.12)
    for learned in (firsts, gaps, plains):
        assert mean(learned) == pytest.approx(factor, rel=0.15)
        within = [abs(value / factor - 1) <= 0.15 for value in learned]
        assert mean(within) >= 0.9


def test_without_the_figure_slow_moments_look_like_slow_engines() -> None:
    # Guards against a test above that passes whatever is learned.
    engine = SimulatedEngine(1.0, 0.15, 0)
    rows = learned_factors(engine, uses_loads=False)
    firsts = [row.speed.first_event_s(2000) / 0.12 for row in rows]
    assert max(firsts) > 1.5


def test_an_unknown_figure_counts_less_only_at_endpoints_that_report_one() -> None:
    row = only_row(endpoints(5))
    row.load.record(load(100), 10.0)
    row.record_measurement(SampleKind.GAP, 0.115)
    assert row.speed.gap_s == pytest.approx(0.04)
    row.load.record(load(250), 10.1)
    row.record_measurement(SampleKind.GAP, 0.14)
    assert row.speed.gap_s == pytest.approx(0.04625)
    row.record_measurement(SampleKind.GAP, 0.115625, percent=250.0)
    assert row.speed.gap_s == pytest.approx(0.04625)


def test_a_new_incarnation_starts_without_a_report() -> None:
    table = EndpointTable()
    table.publish(Published("e-0", "work", "10.1.0.1:80", "hall1", 5, False, 1), 9.0)
    old = only_row(table)
    table.record_load(old, load(400), 10.0)
    table.publish(Published("e-0", "work", "10.1.0.1:80", "hall1", 5, False, 2), 10.1)
    row = only_row(table)
    assert row.load.factor(10.1) == 1.0
    # A response of the old incarnation, received here or by another entry.
    table.record_load(old, load(400), 10.11)
    table.merge_load(LoadReport("e-0", 1, 0, 5, 400, 0.0, born=1), 10.12)
    assert row.load.factor(10.12) == 1.0
    table.merge_load(LoadReport("e-0", 1, 0, 5, 400, 0.0, born=2), 10.13)
    assert row.load.factor(10.13) == 4.0


def test_a_relayed_report_counts_from_its_arrival_at_the_other_entry() -> None:
    table = endpoints(5)
    table.merge_load(LoadReport("e-0", 1, 0, 5, 300, 0.15), 10.0)
    table.merge_load(LoadReport("e-0", 1, 0, 5, 900, 0.2), 10.0)
    table.merge_load(LoadReport("gone", 1, 0, 5, 900, 0.0), 10.0)
    assert only_row(table).load.factor(10.0) == pytest.approx(2.0)


def test_a_relayed_report_is_not_passed_on() -> None:
    # Two entries that request slots of each other would send it back and forth, and their
    # messages' delays would make it look newer each time.
    table = endpoints(5)
    table.merge_load(LoadReport("e-0", 1, 0, 5, 300, 0.0), 10.0)
    assert table.take_loads("work", 10.0) == []


def test_with_silent_peers_requests_beyond_the_known_ones_count_for_a_while() -> None:
    table = endpoints(5)
    row = only_row(table)
    row.in_flight_here = 1
    table.record_load(row, load(100, running=3, waiting=1), 10.0)
    assert row.in_flight == 1
    table.has_silent_peers = True
    table.record_load(row, load(0, running=3, waiting=1), 10.1)
    assert row.in_flight == 1
    table.record_load(row, load(100, running=3, waiting=1), 10.2)
    assert row.in_flight == 4
    table.usable("work", 10.49)
    assert row.free_slots == 1
    table.usable("work", 10.51)
    assert (row.in_flight, row.in_flight_here) == (1, 1)


def test_a_false_count_blocks_an_endpoint_no_longer_than_a_report_counts() -> None:
    table = endpoints(5)
    table.has_silent_peers = True
    table.record_load(only_row(table), load(100, running=100_000), 10.0)
    assert only_row(table).free_slots == 0
    queue = dispatcher(table)
    queue.submit(job("a", arrived_at=10.0))
    assert queue.run_round(10.1) == []
    assert len(queue.run_round(10.31)) == 1
