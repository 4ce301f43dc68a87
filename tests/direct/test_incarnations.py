"""Endpoints that restart under the same id."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.endpoints import EndpointTable, Published, PublishResult
from dockreach.direct.slot_messages import SampleKind

from .core_builders import dispatcher, job, placed


def record(
    born: int, sequence: int = 1, *, leaving: bool = False, slots: int = 2
) -> Published:
    return Published(
        "e-0", "work", "10.1.0.1:80", "hall1", slots, leaving, born=born, sequence=sequence
    )


def test_a_new_incarnation_inherits_no_state_of_the_old_one() -> None:
    table = EndpointTable()
    table.publish(record(1000), 0.0)
    core = dispatcher(table)
    old = table.get("e-0")
    assert old is not None
    for number in range(2):
        core.submit(job(f"old-{number}", arrived_at=9.0))
    assert len(placed(core.run_round(9.0))) == 2
    old.record_prefix("p", 9.0)
    old.record_failure(9.0)
    old.record_failure(9.1)
    assert table.publish(record(2000), 10.0) is PublishResult.NEW_INCARNATION
    row = table.get("e-0")
    assert row is not None
    assert row is not old
    assert (
        row.consecutive_failures,
        row.circuit_open_until,
        row.in_flight,
        row.prefill_tokens,
    ) == (0, 0.0, 0, 0)
    assert not row.is_cached("p", 10.0)
    core.submit(job("new", arrived_at=10.0))
    assert placed(core.run_round(10.0)) == ["new"]


def test_slots_of_the_old_incarnation_are_not_released_on_the_new_one() -> None:
    table = EndpointTable()
    table.publish(record(1000), 0.0)
    core = dispatcher(table)
    old_job = job("old")
    core.submit(old_job)
    core.run_round(0.0)
    table.publish(record(2000), 1.0)
    core.release_slot(old_job)
    row = table.get("e-0")
    assert row is not None
    assert (row.in_flight_here, row.in_flight) == (0, 0)


@pytest.mark.parametrize(
    "kind", [SampleKind.FAILED, SampleKind.UNREACHABLE, SampleKind.ADDRESS_REUSED]
)
def test_failures_of_the_old_incarnation_do_not_affect_the_new_one(
    kind: SampleKind,
) -> None:
    """Guards against a circuit that opens because of a failure before the engine's restart.

    Entries used to report failures to the coordinator by the id of the engine alone. If the
    crash of the old incarnation was reported just after the new one was published, it
    opened the circuit of the new one for 0.5 s; the report that another engine answers at
    its address did so for longer.
    """
    reporter, table = EndpointTable(), EndpointTable()
    for known in (reporter, table):
        known.publish(record(1000), 0.0)
    old = reporter.get("e-0")
    assert old is not None
    fail = {
        SampleKind.FAILED: old.record_failure,
        SampleKind.UNREACHABLE: old.mark_unreachable,
        SampleKind.ADDRESS_REUSED: old.mark_address_reused,
    }
    fail[kind](9.9)
    table.publish(record(2000), 10.0)
    (reported,) = reporter.drain_samples("work")
    assert reported.kind is kind
    table.merge_sample(reported, 10.0)
    row = table.get("e-0")
    assert row is not None
    assert row.circuit_open_until <= 10.0
    assert row.consecutive_failures == 0
    # A failure of the new incarnation does count.
    reporter.publish(record(2000), 10.0)
    new = reporter.get("e-0")
    assert new is not None
    new.record_failure(10.1)
    for sample in reporter.drain_samples("work"):
        table.merge_sample(sample, 10.1)
    assert row.circuit_open_until > 10.1


def test_a_new_incarnation_starts_with_the_speed_of_the_old_one() -> None:
    table = EndpointTable()
    table.publish(record(1000), 0.0)
    old = table.get("e-0")
    assert old is not None
    for _ in range(20):
        old.record_measurement(SampleKind.GAP, 0.05)
    table.publish(record(2000), 1.0)
    row = table.get("e-0")
    assert row is not None
    assert row.speed.gap_s == old.speed.gap_s
    row.record_measurement(SampleKind.GAP, 0.01)
    assert row.speed.gap_s < old.speed.gap_s


def test_a_record_with_an_older_start_time_is_ignored() -> None:
    table = EndpointTable()
    table.publish(record(2000), 0.0)
    assert table.publish(record(1000, 99), 1.0) is PublishResult.STALE
    row = table.get("e-0")
    assert row is not None
    assert row.published.born == 2000


def test_a_record_with_a_lower_sequence_of_the_same_incarnation_is_ignored() -> None:
    table = EndpointTable()
    table.publish(record(2000, 7, leaving=True), 0.0)
    assert table.publish(record(2000, 6), 1.0) is PublishResult.STALE
    assert table.usable("work", 1.0) == []


def test_a_delayed_record_does_not_bring_back_a_removed_incarnation() -> None:
    table = EndpointTable()
    table.publish(record(2000, 7), 0.0)
    table.remove("e-0")
    assert table.publish(record(1000, 99), 1.0) is PublishResult.STALE
    assert table.publish(record(2000, 6), 1.0) is PublishResult.STALE
    assert table.get("e-0") is None
    assert table.publish(record(2000, 7), 1.0) is PublishResult.NEW
    table.remove("e-0")
    assert table.publish(record(3000), 2.0) is PublishResult.NEW_INCARNATION


def test_without_start_times_records_apply_in_the_platforms_order() -> None:
    table = EndpointTable()
    table.publish(record(0, 7), 0.0)
    assert table.publish(record(0, 1, slots=3), 1.0) is PublishResult.CHANGED
    row = table.get("e-0")
    assert row is not None
    assert row.published.slots == 3


def test_an_endpoint_whose_service_changes_leaves_the_old_service() -> None:
    table = EndpointTable()
    table.publish(record(1), 0.0)
    table.publish(Published("e-0", "other", "10.1.0.1:80", "hall1", 2, False, 1, 2), 1.0)
    assert table.of_service("work") == []
    assert [row.id for row in table.of_service("other")] == ["e-0"]


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(0, 4)), max_size=20))
def test_the_newest_record_applies_in_any_order_of_arrival(
    records: list[tuple[int, int]],
) -> None:
    table = EndpointTable()
    for born, sequence in records:
        table.publish(record(born, sequence), 0.0)
    row = table.get("e-0")
    newest = max(records, default=None)
    kept = (row.published.born, row.published.sequence) if row is not None else None
    assert kept == newest
