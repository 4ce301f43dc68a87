"""The operators' query language: parsing, filtering, sorting and errors."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dockreach.errors import QueryError
from dockreach.query import Row, Select, Why, filter_and_sort, parse

ROWS: list[Row] = [
    {"request": "r1", "tier": "bulletin", "age": 2.0, "hall": "hall1", "linked": True},
    {"request": "r2", "tier": "lookup", "age": 0.5, "hall": "hall2", "linked": False},
    {"request": "r3", "tier": "bulletin", "age": 9.0, "hall": "hall2", "linked": True},
]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("requests", ["r1", "r2", "r3"]),
        ("requests where tier=bulletin", ["r1", "r3"]),
        ("requests where tier = bulletin and age > 2.5", ["r3"]),
        ("requests in hall 2 order by age desc", ["r3", "r2"]),
        ("requests in hall hall2 order by age", ["r2", "r3"]),
        ("requests order by age limit 1", ["r2"]),
        ("requests where linked=yes", ["r1", "r3"]),
        ('requests where tier="lookup"', ["r2"]),
        ("requests where tier>5", ["r1", "r2", "r3"]),
        ("requests where nothing=1", []),
    ],
)
def test_queries_select_and_sort_rows(text: str, expected: list[str]) -> None:
    query = parse(text)
    assert isinstance(query, Select)
    assert [row["request"] for row in filter_and_sort(query, ROWS)] == expected


def test_why_query_has_the_request_id() -> None:
    assert parse("why r-12ab") == Why("r-12ab")


@pytest.mark.parametrize("text", ["", "request", "requests where", "requests limit x"])
def test_invalid_query_is_reported(text: str) -> None:
    with pytest.raises(QueryError, match="not understood"):
        parse(text)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.text(max_size=40))
def test_any_text_is_parsed_or_raises_query_error(text: str) -> None:
    try:
        parse(text)
    except QueryError as exc:
        assert str(exc)
