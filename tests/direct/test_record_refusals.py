"""Records of endpoints that are not used: lines in the log, and the counter."""

from __future__ import annotations

import pytest

from dockreach.direct.record_checks import RecordFault
from dockreach.direct.record_refusals import MAX_REMEMBERED, RecordRefusals


def report(
    refusals: RecordRefusals, endpoint: str, fault: RecordFault = RecordFault.NUMBER
) -> None:
    refusals.report(endpoint, fault, f"slots of {endpoint}", source="store")


def test_a_refusal_is_logged_and_counted_once_for_each_reason(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", logger="dockreach")
    refusals = RecordRefusals()
    for _ in range(3):
        report(refusals, "i-1")
    report(refusals, "i-1", RecordFault.ADDRESS)
    report(refusals, "i-2", RecordFault.NESTING)
    lines = [vars(row) for row in caplog.records]
    assert [(row["event"], row["endpoint"], row["reason"]) for row in lines] == [
        (532, "i-1", "number"),
        (532, "i-1", "address"),
        (532, "i-2", "nesting"),
    ]
    assert {row["source"] for row in lines} == {"store"}
    assert lines[0]["message"] == "slots of i-1"
    assert refusals.total == 3


def test_a_record_that_was_valid_meanwhile_is_reported_again() -> None:
    refusals = RecordRefusals()
    report(refusals, "i-1")
    refusals.forget("i-1")
    refusals.forget("i-2")
    report(refusals, "i-1")
    assert refusals.count(RecordFault.NUMBER) == 2


def test_the_metric_has_a_value_for_each_reason() -> None:
    refusals = RecordRefusals()
    report(refusals, "i-1", RecordFault.ADDRESS)
    samples = list(refusals.samples())
    assert {row.name for row in samples} == {"dockreach_direct_refused_entries_total"}
    assert all(row.is_counter for row in samples)
    values = {row.labels["reason"]: row.value for row in samples}
    assert set(values) == {fault.value for fault in RecordFault}
    assert sum(values.values()) == values["address"] == 1


def test_refusals_that_are_remembered_are_bounded() -> None:
    """Guards against memory without bound where records with ever new ids are refused."""
    refusals = RecordRefusals()
    for number in range(MAX_REMEMBERED + 5):
        report(refusals, f"i-{number}")
    assert len(refusals._faults) == MAX_REMEMBERED
    report(refusals, f"i-{MAX_REMEMBERED + 4}")
    assert refusals.total == MAX_REMEMBERED + 5
