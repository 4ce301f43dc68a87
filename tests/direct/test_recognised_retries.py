"""Retries at another entry: what entries tell each other, and what is lost on the way."""

from __future__ import annotations

from typing import TypeVar

import eventlet
import msgspec
import pytest

from dockreach.direct.coordinator_selection import CoordinatorSelector
from dockreach.direct.dispatching import Dispatcher
from dockreach.direct.endpoints import EndpointTable
from dockreach.direct.jobs import Decision, Job, Placed, Refused, RetryKind
from dockreach.direct.peers import PeerTable
from dockreach.direct.routing_config import Organisation, Route
from dockreach.direct.slot_client import MAX_REFUSAL_STATES, REFUSALS_INTERVAL_S, SlotClient
from dockreach.direct.slot_messages import (
    Denial,
    Grant,
    RefusalReport,
    SlotReply,
    SlotState,
)
from dockreach.direct.slot_server import SlotServer
from dockreach.verdict import Reason

from .core_builders import address, digest, dispatcher, endpoints, job, stream_route
from .standins import (
    Caller,
    EndpointStandIn,
    header_of,
    revision,
    start_entry,
    status_of,
)

SLOTS = 20

MessageT = TypeVar("MessageT", Grant, Denial, RefusalReport)


def route_named(name: str) -> Route | None:
    return {f"tier-{tier}": stream_route(tier) for tier in range(3)}.get(name)


class CoreEntry:
    """An entry's decision core, which requests slots from a given coordinator."""

    def __init__(self, number: int, coordinator: int | None = None) -> None:
        self.address = address(number)
        self.table: EndpointTable = endpoints(SLOTS)
        self.dispatcher: Dispatcher = dispatcher(self.table)
        self.peers = PeerTable(self.address, ())
        # Too young to coordinate itself, unless it knows no other entry.
        selector = CoordinatorSelector(self.peers, capacity=1.0, started_at=99.0)
        self.client = SlotClient(
            self.address,
            number,
            selector,
            self.table,
            returning=self.dispatcher.returning,
        )
        self.server = SlotServer(self.address, self.dispatcher, self.table, route_named)
        if coordinator is not None:
            self.follow(coordinator, 100.0)

    def follow(self, coordinator: int, now: float) -> None:
        """Learn of the only other entry that may coordinate."""
        self.peers.merge(digest(address(coordinator), number=int(now * 1000)), now)

    def decide(self, now: float) -> list[Decision]:
        """Run a round; return the decisions on this entry's own jobs."""
        return [
            decision
            for decision in self.dispatcher.run_round(now)
            if not self.server.record_decision(decision)
        ]

    def fill(self, now: float) -> None:
        """Occupy all slots, so that requests have to wait."""
        for number in range(SLOTS):
            self.dispatcher.submit(job(f"h{number}", arrived_at=now))
        self.decide(now)


def attempt(rid: str, arrived_at: float, *, fingerprint: bytes = b"same") -> Job:
    """Return an attempt of a caller that gives up at 112 s."""
    item = job(rid, arrived_at=arrived_at, deadline=112.0)
    item.caller_deadline = 112.0
    item.retry_key = fingerprint
    return item


def send(sender: CoreEntry, receiver: CoreEntry, now: float) -> list[SlotState]:
    """Deliver the due states of an entry; return them."""
    states = [state for to, state in sender.client.due_states(now)]
    for state in states:
        receiver.server.handle_state(state, now)
    return states


def answer(coordinator: CoreEntry, client: CoreEntry, now: float) -> list[Decision]:
    """Run a round and deliver the replies to one entry; return its decisions."""
    coordinator.decide(now)
    decisions: list[Decision] = []
    for to, reply in coordinator.server.pending_replies():
        if to == client.address:
            decisions += client.client.handle_reply(reply, now)
    return decisions


def refused_by(coordinator: CoreEntry, client: CoreEntry, now: float) -> Refused:
    """Have a coordinator reject the request ``same`` of a client early."""
    for number in range(100):
        coordinator.dispatcher.submit(job(f"w{number}", arrived_at=now))
    assert client.client.request_slot(attempt("first", now), now)
    send(client, coordinator, now)
    (decision,) = answer(coordinator, client, now)
    assert isinstance(decision, Refused)
    assert decision.refusal.reason is Reason.HOPELESS
    return decision


def make_room(coordinator: CoreEntry) -> None:
    """Refuse all that waits, and free all slots."""
    for row in coordinator.table:
        row.adjust_in_flight(-row.in_flight, for_peer=False)
    for queue in list(coordinator.dispatcher._waiting.values()):  # noqa: SLF001
        for waiting in queue:
            coordinator.dispatcher.withdraw(waiting)


def test_a_retry_at_another_entry_is_recognised_by_the_coordinator() -> None:
    coordinator, one, two = CoreEntry(1), CoreEntry(2, 1), CoreEntry(3, 1)
    coordinator.fill(100.0)
    refused = refused_by(coordinator, one, 100.2)
    assert refused.is_promised
    assert refused.job.is_promised
    assert refused.refusal.retry_after_s is not None
    at = 100.2 + refused.refusal.retry_after_s + 0.002
    make_room(coordinator)
    retry = attempt("second", at)
    two.follow(1, at)
    assert two.client.request_slot(retry, at)
    send(two, coordinator, at)
    (placed,) = answer(coordinator, two, at + 0.004)
    assert isinstance(placed, Placed)
    # The entry learns of the first attempt, and that the response counts anew.
    assert retry.first_attempt_at == pytest.approx(100.2, abs=0.01)
    assert retry.retry_kind is RetryKind.DUE
    assert retry.counts_from == at


def test_a_refusal_that_an_entry_decided_is_recognised_by_the_coordinator() -> None:
    coordinator, one, two = CoreEntry(1), CoreEntry(2, 1), CoreEntry(3, 1)
    # A quota refuses it, so that the coordinator has not seen it.
    one.client.remember_refusal(attempt("first", 100.0), 0.5, 100.0)
    (state,) = send(one, coordinator, 100.0 + REFUSALS_INTERVAL_S)
    assert [report.fingerprint for report in state.refusals] == [b"same"]
    retry = attempt("second", 100.5)
    two.client.request_slot(retry, 100.5)
    send(two, coordinator, 100.5)
    answer(coordinator, two, 100.504)
    assert retry.first_attempt_at == pytest.approx(100.0, abs=0.01)
    assert retry.retry_kind is RetryKind.COUNTED_ANEW


def test_a_lost_report_is_repeated_until_a_reply_arrives() -> None:
    coordinator, one = CoreEntry(1), CoreEntry(2, 1)
    one.client.remember_refusal(attempt("first", 100.0), 0.5, 100.0)
    lost = one.client.due_states(100.1)
    assert len(lost) == 1
    assert one.client.due_states(100.15) == []
    (repeated,) = send(one, coordinator, 100.2)
    assert len(repeated.refusals) == 1
    answer(coordinator, one, 100.2)
    assert one.client.due_states(100.4) == []
    one.client.request_slot(attempt("b", 100.5, fingerprint=b"b"), 100.5)
    (later,) = send(one, coordinator, 100.5)
    assert later.refusals == []


def test_states_that_only_report_refusals_end_without_a_reply() -> None:
    # A coordinator of an earlier version does not reply to them.
    one = CoreEntry(2, 1)
    one.client.remember_refusal(attempt("first", 100.0), 0.5, 100.0)
    sent = [len(one.client.due_states(100.0 + 0.2 * step)) for step in range(1, 10)]
    assert sum(sent) == MAX_REFUSAL_STATES


def test_a_repeated_report_does_not_recognise_two_retries() -> None:
    coordinator, one, two = CoreEntry(1), CoreEntry(2, 1), CoreEntry(3, 1)
    one.client.remember_refusal(attempt("first", 100.0), 0.5, 100.0)
    send(one, coordinator, 100.1)
    # The reply is lost.
    send(one, coordinator, 100.3)
    retries = [attempt("second", 100.5), attempt("third", 100.6)]
    for retry in retries:
        two.client.request_slot(retry, retry.arrived_at)
        send(two, coordinator, retry.arrived_at)
        answer(coordinator, two, retry.arrived_at)
    assert [retry.is_retry for retry in retries] == [True, False]


def test_a_new_coordinator_learns_refusals_of_the_previous_one() -> None:
    first, second = CoreEntry(1), CoreEntry(4)
    one, two = CoreEntry(2, 1), CoreEntry(3, 4)
    first.fill(100.0)
    refused = refused_by(first, one, 100.2)
    assert refused.refusal.retry_after_s is not None
    at = 100.2 + refused.refusal.retry_after_s + 0.002
    # The first coordinator has been silent for long, and the other one is heard of.
    one.peers.merge(digest(address(1), number=10**7, leaving=True), 100.3)
    one.peers.merge(digest(address(4)), 100.3)
    one.client.request_slot(attempt("other", 100.3, fingerprint=b"other"), 100.3)
    states = dict(one.client.due_states(100.3))
    state = states[address(4)]
    assert [report.fingerprint for report in state.refusals] == [b"same"]
    assert state.refusals[0].is_promised
    second.server.handle_state(state, 100.303)
    assert second.dispatcher.retry_schedule.outstanding("work", 100.31) == 1
    retry = attempt("second", at)
    two.follow(4, at)
    two.client.request_slot(retry, at)
    send(two, second, at)
    answer(second, two, at)
    assert retry.retry_kind is RetryKind.DUE
    # Nothing is granted twice for it, and the first coordinator drops its promise.
    assert second.dispatcher.retry_schedule.outstanding("work", at) == 0
    assert first.dispatcher.retry_schedule.outstanding("work", at) == 1
    assert first.dispatcher.retry_schedule.outstanding("work", at + 0.6) == 0


def test_a_coordinator_that_nobody_told_takes_a_retry_for_a_first_attempt() -> None:
    first, second = CoreEntry(1), CoreEntry(4)
    one, two = CoreEntry(2, 1), CoreEntry(3, 4)
    first.fill(100.0)
    refused_by(first, one, 100.2)
    retry = attempt("second", 101.0)
    two.follow(4, 101.0)
    two.client.request_slot(retry, 101.0)
    send(two, second, 101.0)
    answer(second, two, 101.0)
    assert retry.endpoint is not None
    assert not retry.is_retry


def test_an_entry_that_decides_alone_recognises_what_it_refused_itself() -> None:
    alone = CoreEntry(1)
    alone.fill(100.0)
    assert not alone.client.request_slot(attempt("first", 100.2), 100.2)
    for number in range(100):
        alone.dispatcher.submit(job(f"w{number}", arrived_at=100.2))
    first = attempt("first", 100.2)
    alone.dispatcher.submit(first)
    refused = [one for one in alone.decide(100.2) if one.job is first]
    assert len(refused) == 1
    assert isinstance(refused[0], Refused)
    assert refused[0].refusal.retry_after_s is not None
    retry = attempt("second", 100.2 + refused[0].refusal.retry_after_s)
    alone.dispatcher.submit(retry)
    assert retry.retry_kind is RetryKind.DUE


def test_a_denial_is_recognised_by_the_entry_once_it_decides_alone() -> None:
    coordinator, one = CoreEntry(1), CoreEntry(2, 1)
    coordinator.fill(100.0)
    refused = refused_by(coordinator, one, 100.2)
    assert refused.refusal.retry_after_s is not None
    retry = attempt("second", 100.2 + refused.refusal.retry_after_s)
    one.dispatcher.submit(retry)
    assert retry.retry_kind is RetryKind.DUE


# Messages of an earlier version, as arrays without the new fields at their ends.


def without_new_fields(message: MessageT, count: int) -> MessageT:
    """Return a message as an entry reads that does not send its last fields."""
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    return msgspec.msgpack.decode(
        msgspec.msgpack.encode(fields[: len(fields) - count]), type=type(message)
    )


def test_a_grant_of_an_earlier_version_keeps_the_entrys_estimate() -> None:
    one = CoreEntry(2, 1)
    estimated = attempt("e", 100.0)
    estimated.estimated_first_attempt_at = 98.5
    one.client.request_slot(estimated, 100.0)
    ((_, state),) = one.client.due_states(100.0)
    grant = without_new_fields(Grant(estimated.number, "e-0", 0, 0, True, 0.7, 2), 3)
    assert grant.first_attempt_age_s == 0.0
    reply = SlotReply(address(1), state.incarnation, state.number, "work", [grant], [])
    (placed,) = one.client.handle_reply(reply, 100.01)
    assert isinstance(placed, Placed)
    assert estimated.first_attempt_at == 98.5


def test_a_denial_of_an_earlier_version_promises_nothing() -> None:
    one = CoreEntry(2, 1)
    refused = attempt("first", 100.0)
    one.client.request_slot(refused, 100.0)
    ((_, state),) = one.client.due_states(100.0)
    denial = without_new_fields(
        Denial(refused.number, Reason.HOPELESS.value, "", 1.0, 0.5, True, 3), 3
    )
    reply = SlotReply(address(1), state.incarnation, state.number, "work", [], [denial])
    (decision,) = one.client.handle_reply(reply, 100.01)
    assert isinstance(decision, Refused)
    assert not decision.is_promised
    assert not refused.is_retry


def test_a_state_of_an_earlier_version_reports_no_refusals() -> None:
    coordinator, one = CoreEntry(1), CoreEntry(2, 1)
    one.client.remember_refusal(attempt("first", 100.0), 0.5, 100.0)
    one.client.request_slot(attempt("b", 100.0, fingerprint=b"b"), 100.0)
    ((_, state),) = one.client.due_states(100.0)
    raw = msgspec.to_builtins(state)
    assert raw[0] == 2
    earlier = msgspec.convert(raw[:9], type=SlotState)
    assert earlier.refusals == []
    assert coordinator.server.handle_state(earlier, 100.0)

    # An earlier version ignores the fields after those that it knows.
    class EarlierReport(msgspec.Struct, array_like=True):
        fingerprint: bytes
        caller_time_left_s: float

    data = msgspec.msgpack.encode(state.refusals[0])
    assert msgspec.msgpack.decode(data, type=EarlierReport).fingerprint == b"same"


def test_a_report_without_the_later_fields_is_recognised_but_does_not_count_anew() -> None:
    coordinator = CoreEntry(1)
    report = without_new_fields(RefusalReport(b"same", 12.0, 1.0, 0.5, False), 3)
    assert coordinator.dispatcher.returning.merge("work", report, "x", 100.0) is not None
    retry = attempt("second", 100.5)
    coordinator.dispatcher.submit(retry)
    assert retry.retry_kind is RetryKind.RECOGNISED
    assert retry.counts_from == pytest.approx(99.0)


def test_an_unknown_kind_of_a_later_version_is_not_an_error() -> None:
    assert RetryKind.decode(99) is RetryKind.UNKNOWN


def test_an_entry_that_coordinates_itself_reports_nothing() -> None:
    alone = CoreEntry(1)
    alone.client.remember_refusal(attempt("first", 100.0), 0.5, 100.0)
    assert alone.client.due_states(101.0) == []


def test_the_log_of_a_retry_shows_its_first_attempt_and_how_it_is_known(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", logger="dockreach")
    limited = Organisation("poor", frozenset({"key-1"}), None, 1.0, 1.0, 10**6)
    endpoint = EndpointStandIn(lambda dialog: dialog.respond(b"fine"))
    entry = start_entry(endpoint, config=revision(organisations=(limited,)))
    assert entry.revision is not None
    for route in entry.revision.routes:
        for number in range(20):
            entry.ctx.first_attempts.first_attempt_age_s(route.name, 2.7 + 0.03 * number)
    first, second = Caller(entry), Caller(entry)
    first.send("/once/a", rid="r-1", body=b"prompt", deadline_ms=3000)
    response = first.read_response()
    assert status_of(response) == 429
    # Its caller does not wait for longer than a third of its time.
    assert 0 < float(header_of(response, b"retry-after") or b"0") <= 1.0
    eventlet.sleep(0.3)
    second.send(
        "/once/a",
        rid="r-2",
        body=b"prompt",
        deadline_ms=2700,
        extra="Token-Counts: 1,0\r\n",
    )
    assert status_of(second.read_response()) == 200
    eventlet.sleep(0.05)
    lines = {vars(row).get("rid"): vars(row) for row in caplog.records}
    assert (lines["r-1"]["retry"], lines["r-1"]["promised"]) == ("", False)
    assert lines["r-2"]["retry"] == "counted_anew"
    assert 250 <= lines["r-2"]["tried_ms"] <= 600
    # The first event metric counts from the first attempt, and the outcome from the retry.
    assert lines["r-2"]["outcome"] == "in_time"
    (key,) = [one for one in entry.ctx.outcomes.counts if one.outcome == "in_time"]
    assert key.is_retry


def test_refusals_that_are_too_old_to_be_reported_cause_no_states() -> None:
    # Their records may be gone already, though their numbers were never acknowledged.
    one = CoreEntry(2, 1)
    one.client.remember_refusal(attempt("first", 100.0), 0.5, 100.0)
    other = attempt("x", 106.0, fingerprint=b"x")
    other.service = "other"
    one.client.remember_refusal(other, 0.5, 106.0)
    one.follow(1, 106.0)
    one.client.refresh_coordinators(106.0)
    # The first state is due since the coordinator has been selected.
    one.client.due_states(106.1)
    states = [
        state for at in (106.2, 106.4, 106.6) for _, state in one.client.due_states(at)
    ]
    assert "work" not in [state.service for state in states]


def test_a_job_held_until_its_deadline_is_refused_by_the_coordinator_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a refusal of the client just before that of the coordinator.

    Callers were then told to return after 0.3 s, and the coordinator kept two refusals.
    """
    coordinator, one = CoreEntry(1), CoreEntry(2, 1)
    coordinator.fill(100.0)
    schedule = coordinator.dispatcher.retry_schedule
    monkeypatch.setattr(schedule, "expected_after_s", lambda job, ahead, now: 1.7)
    held = attempt("first", 100.2)
    held.queue_deadline = 100.5
    # It lost an endpoint, and is not rejected early.
    held.tried_endpoints = {"lost"}
    assert one.client.request_slot(held, 100.2)
    decisions: list[Decision] = []
    for step in range(100):
        now = 100.2 + 0.005 * step
        decisions += one.client.expire(now)
        send(one, coordinator, now)
        decisions += answer(coordinator, one, now + 0.004)
    (refused,) = decisions
    assert isinstance(refused, Refused)
    assert refused.refusal.retry_after_s == pytest.approx(1.7)
    assert len(coordinator.dispatcher.returning) == 1
