"""Records of endpoints that reach an entry late, or in another order than written."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.endpoints import EndpointTable, Published, PublishResult

RECORD = Published(
    "e-0",
    "work",
    "10.1.0.1:80",
    "hall1",
    2,
    leaving=False,
    sequence=7,
    software_version="v1",
    revision=20,
    registered_revision=10,
)
LEAVING = replace(RECORD, leaving=True, sequence=8, revision=30)

BORN = [0, 1000]
"""Start times of the endpoint's incarnation; 0 where records have none."""


def table_with(*records: Published, born: int = 0) -> EndpointTable:
    table = EndpointTable()
    for record in records:
        table.publish(replace(record, born=born))
    return table


def serves(table: EndpointTable) -> bool:
    return bool(table.accepting("work", None))


@pytest.mark.parametrize("born", BORN)
def test_an_older_record_does_not_let_a_leaving_endpoint_serve_again(born: int) -> None:
    """Guards against requests to an endpoint that left, on the word of a peer that lags."""
    table = table_with(LEAVING, born=born)
    assert table.publish(replace(RECORD, born=born)) is PublishResult.STALE
    assert not serves(table)


@pytest.mark.parametrize("born", BORN)
def test_a_delayed_write_does_not_let_a_leaving_endpoint_serve_again(born: int) -> None:
    table = table_with(LEAVING, born=born)
    table.publish(replace(RECORD, born=born, revision=40, slots=3))
    assert not serves(table)


@pytest.mark.parametrize("born", BORN)
def test_a_record_without_a_revision_does_not_let_a_leaving_endpoint_serve_again(
    born: int,
) -> None:
    """Guards against requests to an endpoint that left while the software is updated."""
    table = table_with(LEAVING, born=born)
    unknown = replace(LEAVING, born=born, leaving=False, revision=0, registered_revision=0)
    table.publish(unknown)
    assert not serves(table)
    assert table.publish(replace(RECORD, born=born)) is PublishResult.STALE


@pytest.mark.parametrize(
    "changes",
    [
        {"born": 2000, "sequence": 1},
        {"born": 2000, "sequence": 1, "revision": 0, "registered_revision": 0},
    ],
)
def test_a_later_incarnation_of_a_leaving_endpoint_serves(
    changes: dict[str, int],
) -> None:
    table = table_with(LEAVING, born=1000)
    table.publish(replace(RECORD, **{"revision": 40, **changes}))  # type: ignore[arg-type]
    assert serves(table)


@pytest.mark.parametrize(
    "later",
    [
        replace(RECORD, sequence=1, revision=40, registered_revision=40),
        replace(RECORD, sequence=1, revision=40, address="10.1.0.2:80"),
        replace(RECORD, sequence=1, revision=40, software_version="v2"),
    ],
)
@pytest.mark.parametrize("is_removed", [True, False])
def test_a_later_process_without_a_start_time_is_not_held_back(
    later: Published, is_removed: bool
) -> None:
    """Guards against an endpoint without requests, since its predecessor was leaving."""
    table = table_with(LEAVING)
    row = table.get("e-0")
    assert row is not None
    row.advertised.is_leaving = True
    if is_removed:
        row.mark_unlisted(35)
        table.remove("e-0")
    table.publish(later)
    assert serves(table)


def test_an_endpoint_that_says_it_leaves_does_not_serve_once_registered_anew() -> None:
    table = table_with(RECORD)
    row = table.get("e-0")
    assert row is not None
    row.advertised.is_leaving = True
    row.mark_unlisted(35)
    table.remove("e-0")
    table.publish(replace(RECORD, sequence=9, revision=40, registered_revision=40))
    assert not serves(table)


@pytest.mark.parametrize("born", BORN)
def test_an_endpoint_that_was_removed_does_not_come_back_by_an_older_record(
    born: int,
) -> None:
    table = table_with(RECORD, born=born)
    row = table.get("e-0")
    assert row is not None
    row.mark_unlisted(35)
    table.remove("e-0")
    assert table.publish(replace(RECORD, born=born)) is PublishResult.STALE
    assert table.get("e-0") is None
    back = replace(RECORD, born=born, sequence=9, revision=40, registered_revision=40)
    assert table.publish(back) is PublishResult.NEW
    assert serves(table)


def test_records_of_a_store_that_has_gone_back_apply() -> None:
    table = table_with(LEAVING, born=0)
    table.forget_revisions()
    back = replace(RECORD, revision=15, registered_revision=15, address="10.1.0.2:80")
    assert table.publish(back) is PublishResult.CHANGED
    assert serves(table)


RECORDS = st.lists(
    st.tuples(st.integers(1, 9), st.booleans()), max_size=12, unique_by=lambda row: row[0]
)


@given(RECORDS)
def test_records_of_one_process_have_the_same_result_in_any_order(
    records: list[tuple[int, bool]],
) -> None:
    """Once it was said to be leaving, that holds; an older record changes nothing."""
    table, heard_leaving = EndpointTable(), False
    for revision, leaving in records:
        record = replace(RECORD, leaving=leaving, revision=revision, registered_revision=1)
        result = table.publish(record)
        heard_leaving |= leaving and result is not PublishResult.STALE
        assert serves(table) is not heard_leaving
    row = table.get("e-0")
    newest = max((revision for revision, _ in records), default=None)
    assert (row.published.revision if row is not None else None) == newest
