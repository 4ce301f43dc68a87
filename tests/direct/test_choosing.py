"""Which endpoint a request goes to, and how many it is given."""

from __future__ import annotations

from dockreach.direct.choosing import EXTRA, Choice, Chooser
from dockreach.direct.endpoints import MOST_PREFIXES, EndpointTable, Published

from .cores import dispatcher, endpoints, job, placed


def chooser(table: EndpointTable, choice: Choice = Choice.MEASURED) -> Chooser:
    return Chooser(table, "hall1", choice, extra=0)


def test_low_tiers_leave_places_to_higher_ones_that_came_lately() -> None:
    core = dispatcher(endpoints(5))
    core.submit(job("top", tier=0))
    for number in range(6):
        core.submit(job(f"low-{number}", tier=2))
    assert len(placed(core.pump(0.1))) == 4
    core.submit(job("top-2", tier=0, arrived=0.2))
    assert placed(core.pump(0.2)) == ["top-2"]


def test_without_higher_tiers_all_places_are_taken() -> None:
    core = dispatcher(endpoints(5))
    for number in range(6):
        core.submit(job(f"low-{number}", tier=2))
    assert len(placed(core.pump(0.1))) == 5


def test_requests_of_other_entries_take_places() -> None:
    table = endpoints(2)
    table.set_others({"e-0": 2})
    core = dispatcher(table)
    core.submit(job("a"))
    assert core.pump(0.1) == []
    table.change_others({"e-0": 2}, {"e-0": 1})
    assert placed(core.pump(0.2)) == ["a"]


def test_the_faster_endpoint_is_chosen_and_the_baseline_does_not_know() -> None:
    table = endpoints(4, 4)
    for row in table:
        for _ in range(20):
            row.speed.learn_first(1000, 0.5 if row.id == "e-0" else 0.1)
    table_row = table.get("e-1")
    assert table_row is not None
    table_row.own = 1
    chosen = chooser(table).choose(job("a"), 0.0)
    baseline = chooser(table, Choice.PLAIN).choose(job("a"), 0.0)
    assert chosen is not None
    assert baseline is not None
    assert (chosen.id, baseline.id) == ("e-1", "e-0")


def test_an_endpoint_that_fails_is_left_alone_and_tried_again() -> None:
    table = endpoints(4, 4)
    bad = table.get("e-0")
    assert bad is not None
    bad.failed(0.0)
    core = dispatcher(table)
    assert [row.id for row in table.usable("work", 0.1)] == ["e-1"]
    assert len(table.usable("work", 1.0)) == 2
    bad.failed(1.0)
    assert [row.id for row in table.usable("work", 1.9)] == ["e-1"]
    bad.succeeded(1.9)
    assert len(table.usable("work", 1.9)) == 2
    assert core.waiting() == {}


def test_after_a_failure_one_request_goes_first() -> None:
    """Six requests at a time found that a crashed engine still refuses connections."""
    table = endpoints(6)
    core = dispatcher(table)
    (row,) = table
    row.failed(0.0)
    core.submit(job("first", arrived=2.0))
    core.submit(job("second", arrived=2.0))
    assert placed(core.pump(2.0)) == ["first"]
    row.succeeded(2.1)
    assert placed(core.pump(2.1)) == ["second"]


def test_where_all_are_suspect_all_are_tried() -> None:
    table = endpoints(1, 1)
    for row in table:
        row.failed(0.0)
    assert len(table.usable("work", 0.1)) == 2


def test_a_leaving_endpoint_gets_nothing() -> None:
    table = endpoints(4)
    table.publish(Published("e-0", "work", "10.1.0.1:80", "hall1", 4, True))
    core = dispatcher(table)
    core.submit(job("a"))
    assert core.pump(0.1) == []


def test_an_endpoint_that_was_tried_is_not_tried_again() -> None:
    core = dispatcher(endpoints(4))
    again = job("a")
    again.tried.add("e-0")
    core.submit(again)
    assert core.pump(0.1) == []


def test_a_long_stream_waits_for_an_endpoint_that_can_end_it_in_time() -> None:
    table = endpoints(4, 1)
    for row in table:
        for _ in range(30):
            row.speed.learn_gap(0.05 if row.id == "e-0" else 0.01)
    quick = table.get("e-1")
    assert quick is not None
    quick.own = 1
    core = dispatcher(table)
    core.submit(job("long", events=300.0, ends=8.0))
    assert core.pump(0.1) == []
    core.submit(job("short", events=30.0, ends=8.0))
    assert placed(core.pump(0.1)) == ["short"]
    quick.own = 0
    assert placed(core.pump(0.2)) == ["long"]


def test_a_stream_that_nobody_can_end_in_time_is_tried_all_the_same() -> None:
    core = dispatcher(endpoints(1))
    core.submit(job("endless", events=1e6))
    assert placed(core.pump(0.1)) == ["endless"]


def test_a_slow_engine_with_room_is_no_place_for_what_it_would_hold_up() -> None:
    table = unlike_engines()
    fast, slow = table
    fast.own = 10
    assert slow.free == 10
    long = job("long", prompt_tokens=7000)
    assert chooser(table).choose(long, 0.0) is None
    slow.own = 10
    assert chooser(table).choose(long, 0.0) is None
    fast.own = 9
    chosen = chooser(table).choose(long, 0.0)
    assert chosen is not None
    assert chosen.id == "e-0"


def test_an_endpoint_is_given_one_extra_request_and_no_more() -> None:
    core = dispatcher(endpoints(2), extra=EXTRA)
    for number in range(5):
        core.submit(job(f"j-{number}", arrived=0.0))
    assert len(placed(core.pump(0.0))) == 2 + EXTRA


def test_the_extra_request_takes_nothing_of_the_places_kept_for_higher_tiers() -> None:
    core = dispatcher(endpoints(7), extra=EXTRA)
    for tier in (0, 1):
        core.submit(job(f"t-{tier}", tier=tier))
    assert len(placed(core.pump(0.0))) == 2
    for number in range(9):
        core.submit(job(f"low-{number}", tier=2))
    assert len(placed(core.pump(0.0))) == 7 + EXTRA - 2 - 2


def unlike_engines(slower: float = 4.0) -> EndpointTable:
    """Return a fast engine, ``e-0``, and one that takes some times as long, ``e-1``."""
    table = endpoints(10, 10)
    for row, slowness in zip(table, (1.0, slower), strict=True):
        row.speed.latency_s = 0.02 * slowness
        row.speed.read_s = 1e-5 * slowness
        row.speed.gap_s = 0.016 * slowness
    return table


def test_a_long_prompt_does_not_go_where_it_holds_up_what_runs() -> None:
    table = unlike_engines()
    core = dispatcher(table)
    fast, slow = table
    fast.own = 10
    core.submit(job("long", prompt_tokens=7000))
    assert core.pump(0.0) == []
    core.submit(job("short", prompt_tokens=600))
    assert placed(core.pump(0.0)) == ["short"]
    assert slow.own == 1


def test_a_prompt_that_holds_up_everybody_goes_to_the_fastest_engine() -> None:
    table = unlike_engines()
    chosen = chooser(table).choose(job("huge", prompt_tokens=90_000), 0.0)
    assert chosen is not None
    assert chosen.id == "e-0"


def test_short_prompts_leave_a_crowded_fast_engine_to_others() -> None:
    table = unlike_engines(slower=2.0)
    fast, _ = table
    blurb = job("blurb", prompt_tokens=600, events=50.0)
    first = chooser(table).choose(blurb, 0.0)
    fast.own = 9
    second = chooser(table).choose(blurb, 0.0)
    assert first is not None
    assert second is not None
    assert (first.id, second.id) == ("e-0", "e-1")


def test_an_engine_that_is_still_reading_is_given_the_next_prompt_later() -> None:
    table = endpoints(4, 4)
    core = dispatcher(table)
    one = job("one", prompt_tokens=5000)
    core.submit(one)
    core.submit(job("two", prompt_tokens=5000))
    core.pump(0.0)
    assert sorted(row.own for row in table) == [1, 1]
    assert sorted(row.reading for row in table) == [5000, 5000]
    one.end_reading()
    core.release(one)
    assert sorted(row.reading for row in table) == [0, 5000]


def test_the_prompt_parts_that_are_remembered_are_bounded() -> None:
    (row,) = endpoints(1)
    for number in range(MOST_PREFIXES + 10):
        row.keep_prefix(f"part-{number}", 1.0)
    assert len(row.prefixes) == MOST_PREFIXES
    assert row.is_kept(f"part-{MOST_PREFIXES + 9}", 2.0)
    assert not row.is_kept("part-0", 2.0)
    assert not row.is_kept(f"part-{MOST_PREFIXES + 9}", 100.0)
