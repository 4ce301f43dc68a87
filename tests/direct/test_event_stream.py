"""The event splitter returns only complete events, however the bytes are split."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.event_stream import EventSplitter


@given(st.lists(st.integers(0, 60), max_size=20))
def test_events_do_not_depend_on_how_the_bytes_are_split(cuts: list[int]) -> None:
    data = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nweight: 3\nid:4\n\n"
    splitter = EventSplitter()
    offsets = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    pieces = [data[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]
    events = [event for piece in pieces for event in splitter.feed(piece)]
    assert [event.id for event in events] == ["1", "2", "4"]
    assert b"".join(event.data for event in events) == data
    assert splitter.remainder == b""


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"])
def test_each_kind_of_blank_line_ends_an_event(end: bytes) -> None:
    (event,) = EventSplitter().feed(b"data: x" + end)
    assert event.data == b"data: x" + end
    assert event.id == ""


def test_a_partial_event_stays_buffered() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\nda") == []
    assert splitter.remainder == b"id: 1\nda"
