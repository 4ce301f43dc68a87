"""The operators' query language: parsing of queries and evaluation over rows.

The grammar is in ``query.lark``. A query is sent to daemons as text and parsed by each of
them, so that a daemon evaluates only what it has validated itself.
"""

from __future__ import annotations

import operator
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import cache
from importlib.resources import files
from typing import Any, NamedTuple

from .errors import QueryError

Value = str | int | float | bool | None
Row = dict[str, Value]

_COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


class Condition(NamedTuple):
    """A comparison of one column with a value."""

    column: str
    operator: str
    value: str | float


@dataclass(slots=True, frozen=True)
class Select:
    """A query for the rows of a table.

    Attributes:
        table: Name of the table.
        hall: Data hall of the rows; empty for all.
        conditions: Conditions that every row must fulfil.
        order: Column to sort by; empty for no sorting.
        descending: Whether to sort in descending order.
        limit: Maximum number of rows; ``None`` for all.
    """

    table: str
    hall: str = ""
    conditions: tuple[Condition, ...] = field(default=())
    order: str = ""
    descending: bool = False
    limit: int | None = None


class Why(NamedTuple):
    """A query for the decisions about one request, in order of time."""

    rid: str


Query = Select | Why


@cache
def _parser() -> Any:  # noqa: ANN401
    """Return the parser, which is built when the first query arrives."""
    from lark import Lark  # noqa: PLC0415

    grammar = files("dockreach").joinpath("query.lark").read_text()
    return Lark(grammar, parser="earley")


def parse(text: str) -> Query:
    """Parse a query.

    Raises:
        QueryError: The text is not a valid query; the message shows the position.
    """
    from lark.exceptions import LarkError, UnexpectedInput  # noqa: PLC0415

    try:
        tree = _parser().parse(text)
    except UnexpectedInput as exc:
        parsed = text[: exc.column - 1] if exc.column and exc.column > 0 else text
        raise QueryError(f"not understood after {parsed!r}; {_SYNTAX_HELP}") from exc
    except LarkError as exc:
        raise QueryError(f"not understood; {_SYNTAX_HELP}") from exc
    node = tree.children[0]
    if node.data == "why":
        return Why(str(node.children[0]))
    return _select(node)


_SYNTAX_HELP = (
    "write TABLE [in hall H] [where COLUMN = VALUE and ...] [order by COLUMN] [limit N], "
    "or why REQUEST; tables: requests, engines, members, orgs, config, burn"
)


def _select(node: Any) -> Select:  # noqa: ANN401
    parts = {child.data: child.children for child in node.children[1:] if child}
    order = parts.get("order", [])
    limit = parts.get("limit")
    return Select(
        table=str(node.children[0]),
        hall=str(parts["hall"][0]) if "hall" in parts else "",
        conditions=tuple(_condition(item) for item in parts.get("where", [])),
        order=str(order[0]) if order else "",
        descending=bool(order and order[1] and order[1].lower() == "desc"),
        limit=int(limit[0]) if limit else None,
    )


def _condition(node: Any) -> Condition:  # noqa: ANN401
    column, comparison, value = node.children
    text = str(value.children[0])
    if value.data == "number":
        return Condition(str(column), str(comparison), float(text))
    if value.data == "text":
        text = text[1:-1]
    return Condition(str(column), str(comparison), text)


def matches(select: Select, row: Row) -> bool:
    """Return whether a row fulfils the conditions of a query."""
    if select.hall and str(row.get("hall", "")) not in (
        select.hall,
        f"hall{select.hall}",
    ):
        return False
    return all(_condition_holds(condition, row) for condition in select.conditions)


def _condition_holds(condition: Condition, row: Row) -> bool:
    actual = row.get(condition.column)
    expected: Any = condition.value
    if isinstance(actual, bool):
        actual = "yes" if actual else "no"
    elif isinstance(actual, int | float) and isinstance(expected, str):
        return False
    elif isinstance(actual, str):
        expected = _to_text(expected)
    if actual is None:
        return False
    return _COMPARISONS[condition.operator](actual, expected)


def _to_text(value: str | float) -> str:
    """Return a value as text; numbers without a fraction have no decimal point."""
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def filter_and_sort(select: Select, rows: Iterable[Row]) -> list[Row]:
    """Return the rows that match a query, in its order and up to its limit."""
    matching = [row for row in rows if matches(select, row)]
    if select.order:
        matching.sort(
            key=lambda row: _sort_key(row.get(select.order)), reverse=select.descending
        )
    return matching[: select.limit] if select.limit is not None else matching


def _sort_key(value: Value) -> tuple[int, float, str]:
    """Return a key that sorts numbers before texts."""
    if isinstance(value, int | float):
        return (0, float(value), "")
    return (1, 0.0, "" if value is None else str(value))


def column_names(rows: Sequence[Row]) -> list[str]:
    """Return the column names of rows, in order of first occurrence."""
    return list(dict.fromkeys(name for row in rows for name in row))
