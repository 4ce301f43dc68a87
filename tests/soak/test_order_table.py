"""Each stream that broke its order counts with the last fault before it."""

from __future__ import annotations

from .order_table import order_table
from .test_rejoined_invariants import VERSIONS, events_of, make_row, observe
from .worker_content import stream_length
from .worker_facts import Fact, FactKind


def cells(lines: list[str]) -> list[list[str]]:
    return [[cell.strip() for cell in line.split("|")] for line in lines]


def test_an_early_end_counts_with_the_last_fault_before_it() -> None:
    row = make_row("chat-1", events_of("chat-1", 1, 2), is_whole=True, sent_at=10.0)
    observed = observe(row)
    assert stream_length("chat-1") != 2
    assert cells(order_table(observed, [])) == [["chat", "ended early", "none", "1"]]
    observed.injected = [(9.0, "release"), (10.2, "kill_process"), (10.6, "burst")]
    found = cells(order_table(observed, []))
    assert found == [["chat", "ended early", "kill_process", "1"]]
    facts = [Fact(10.3, "i-1", FactKind.EXIT, "chat-1")]
    found = cells(order_table(observed, facts))
    assert found == [["chat", "ended early", "endpoint_exit", "1"]]


def test_a_joined_version_counts_with_the_last_fault_before_its_take_up() -> None:
    stream = "summary-1"
    first = make_row(stream, events_of(stream, 1, 1), sent_at=10.0)
    row = make_row("summary-9", events_of(stream, 2, 2, "i-2"), sent_at=12.0)
    row.after, row.stream_rid = 1, stream
    observed = observe(first, row, versions=VERSIONS)
    observed.injected = [(11.0, "cut_power"), (12.2, "burst")]
    found = cells(order_table(observed, []))
    assert found == [["summary", "joined versions", "cut_power", "1"]]


def test_streams_in_order_have_no_line() -> None:
    stream = "outline-1"
    last = stream_length(stream)
    row = make_row(stream, events_of(stream, 1, last), is_whole=True)
    assert order_table(observe(row), []) == []
