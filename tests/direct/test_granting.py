"""Granting slots to other entries, and releasing them."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockreach.direct.asking import Asker
from dockreach.direct.coordinators import Coordinators
from dockreach.direct.digest import Address
from dockreach.direct.dispatching import Dispatcher
from dockreach.direct.endpoints import EndpointTable
from dockreach.direct.fleet import Route
from dockreach.direct.granting import LEASE_S, Granter
from dockreach.direct.jobs import Job, Placed
from dockreach.direct.peers import PeerTable
from dockreach.direct.placing_messages import (
    HeldJob,
    LateSend,
    PlacingAnswer,
    PlacingState,
    Sample,
    SampleKind,
    WaitingJob,
)
from dockreach.verdict import Reason

from .cores import OWN, address, digest, dispatcher, endpoints, job, stream_route


def route_named(name: str) -> Route | None:
    routes = {f"tier-{tier}": stream_route(tier) for tier in range(3)}
    return routes.get(name)


class Giving:
    """An entry that grants slots to others."""

    def __init__(self, *slots: int) -> None:
        self.table = endpoints(*slots)
        self.dispatcher = dispatcher(self.table)
        self.core = Granter(OWN, self.dispatcher, self.table, route_named)

    def pump(self, now: float) -> None:
        """Run a scheduling round."""
        for decision in self.dispatcher.pump(now):
            self.core.decide(decision)

    def hear(self, state: PlacingState, now: float) -> PlacingAnswer | None:
        """Handle a state; return the reply to its sender."""
        self.core.take(state, now)
        self.pump(now)
        return dict(self.core.answers()).get(state.address)

    @property
    def granted(self) -> list[int]:
        """Slots granted to others, by endpoint."""
        return [row.granted for row in self.table]


def waiting(number: int, *, tier: int = 0, tried: tuple[str, ...] = ()) -> WaitingJob:
    return WaitingJob(
        number=number,
        route=f"tier-{tier}",
        rank=(tier,),
        prompt_tokens=1000,
        events=10.0,
        prefix=(),
        arrived_s=0.0,
        tried_s=0.0,
        give_up_s=3.0,
        ends_s=8.0,
        was_weighed=True,
        tried=list(tried),
    )


def state(  # noqa: PLR0913
    number: int,
    *,
    wants: tuple[WaitingJob, ...] = (),
    holds: tuple[HeldJob, ...] = (),
    samples: tuple[Sample, ...] = (),
    sender: Address | None = None,
    incarnation: int = 1,
) -> PlacingState:
    return PlacingState(
        address=sender or address(1),
        incarnation=incarnation,
        number=number,
        service="work",
        waiting=list(wants),
        held=list(holds),
        samples=list(samples),
    )


def test_a_slot_is_granted_and_counted() -> None:
    entry = Giving(1)
    reply = entry.hear(state(1, wants=(waiting(5),)), 100.0)
    assert reply is not None
    (grant,) = reply.grants
    assert (grant.number, grant.endpoint, grant.reading) == (5, "e-0", 1000)
    assert entry.granted == [1]


def test_jobs_of_all_entries_are_ordered_by_tier() -> None:
    entry = Giving(1)
    entry.hear(state(1, wants=(waiting(1),)), 100.0)
    entry.hear(state(1, wants=(waiting(1, tier=2),), sender=address(2)), 100.0)
    entry.hear(state(1, wants=(waiting(1, tier=1),), sender=address(3)), 100.1)
    entry.core.take(state(2), 100.2)
    entry.pump(100.2)
    replies = dict(entry.core.answers())
    assert [grant.number for grant in replies[address(3)].grants] == [1]
    assert address(2) not in replies


def test_a_waiting_job_gets_an_empty_reply() -> None:
    entry = Giving(1)
    entry.hear(state(1, wants=(waiting(1),)), 100.0)
    reply = entry.hear(state(1, wants=(waiting(9),), sender=address(2)), 100.0)
    assert reply is not None
    assert (reply.grants, reply.denials) == ([], [])


def test_a_lost_grant_is_repeated_and_counted_once() -> None:
    entry = Giving(2)
    for number in range(1, 4):
        reply = entry.hear(state(number, wants=(waiting(5),)), 100.0 + number / 100)
        assert reply is not None
        assert len(reply.grants) == 1
    assert sum(entry.granted) == 1


def test_a_denial_is_repeated_until_it_is_received() -> None:
    entry = Giving(1)
    entry.hear(state(1, wants=(waiting(1),)), 100.0)
    late = waiting(2)
    late.give_up_s = 0.0
    for number in (2, 3):
        reply = entry.hear(state(number, wants=(waiting(1), late)), 100.0)
        assert reply is not None
        assert [denial.reason for denial in reply.denials] == [Reason.SHED.value]
    reply = entry.hear(state(4, wants=(waiting(1),)), 100.1)
    assert reply is not None
    assert reply.denials == []


def test_a_late_state_is_ignored() -> None:
    entry = Giving(1)
    entry.hear(state(2, wants=(waiting(5),)), 100.0)
    assert not entry.core.take(state(1), 100.1)
    assert entry.granted == [1]


def test_a_slot_is_released_once_a_state_omits_it() -> None:
    entry = Giving(1)
    entry.hear(state(1, wants=(waiting(5),)), 100.0)
    entry.hear(state(2, holds=(HeldJob(5, "e-0", 1000),)), 100.1)
    assert entry.granted == [1]
    entry.hear(state(3), 100.2)
    assert entry.granted == [0]
    assert len(entry.core) == 0


def test_a_finished_prefill_no_longer_counts() -> None:
    entry = Giving(2)
    entry.hear(state(1, wants=(waiting(5),)), 100.0)
    row = entry.table.get("e-0")
    assert row is not None
    assert row.reading == 1000
    entry.hear(state(2, holds=(HeldJob(5, "e-0", 0),)), 100.1)
    assert row.reading == 0


def test_a_declined_job_is_granted_a_slot_elsewhere() -> None:
    entry = Giving(1, 1)
    reply = entry.hear(state(1, wants=(waiting(5),)), 100.0)
    assert reply is not None
    first = reply.grants[0].endpoint
    reply = entry.hear(state(2, wants=(waiting(5, tried=(first,)),)), 100.1)
    assert reply is not None
    assert reply.grants[0].endpoint != first
    assert sum(entry.granted) == 1


def test_an_endpoint_declined_for_a_while_is_blocked_for_that_job() -> None:
    entry = Giving(1)
    reply = entry.hear(state(1, wants=(waiting(5),)), 100.0)
    assert reply is not None
    blocked = msgspec.structs.replace(waiting(5), holds={"e-0": 0.5})
    entry.hear(state(2, wants=(blocked,)), 100.1)
    (queued,) = [row for rows in entry.dispatcher._waiting.values() for row in rows]  # noqa: SLF001
    assert queued.held_until == {"e-0": pytest.approx(100.6)}
    entry.hear(state(3, wants=(waiting(5),)), 100.2)
    assert queued.held_until == {}


def test_slots_granted_elsewhere_are_counted() -> None:
    entry = Giving(2)
    entry.hear(state(1, holds=(HeldJob(8, "e-0", 0), HeldJob(9, "gone", 0))), 100.0)
    assert entry.granted == [1]


def test_slots_of_an_expired_lease_are_released() -> None:
    entry = Giving(1)
    entry.hear(state(1, wants=(waiting(5),)), 100.0)
    assert not entry.core.expire(100.0 + LEASE_S)
    assert entry.core.expire(100.1 + LEASE_S)
    assert entry.granted == [0]
    assert not entry.core.asks_here(address(1), "work")


def test_slots_of_an_earlier_incarnation_are_released() -> None:
    entry = Giving(1)
    entry.hear(state(90, wants=(waiting(5),)), 100.0)
    reply = entry.hear(state(1, wants=(waiting(1),), incarnation=2), 100.1)
    assert reply is not None
    assert len(reply.grants) == 1
    assert entry.granted == [1]


def test_a_state_with_an_unknown_route_gets_no_reply() -> None:
    entry = Giving(1)
    unroutable = waiting(5)
    unroutable.route = "new"
    assert entry.hear(state(1, wants=(unroutable,)), 100.0) is None


def test_measurements_of_other_entries_are_recorded() -> None:
    entry = Giving(1)
    row = entry.table.get("e-0")
    assert row is not None
    samples = tuple(Sample("e-0", SampleKind.GAP, 0, 0.1) for _ in range(20))
    entry.hear(state(1, wants=(waiting(5),), samples=samples), 100.0)
    assert row.speed.gap_s > 0.09


def test_reported_failures_count_once_until_the_endpoint_responds() -> None:
    entry = Giving(1)
    row = entry.table.get("e-0")
    assert row is not None
    failed = (Sample("e-0", SampleKind.FAILED),) * 5
    entry.hear(state(1, wants=(waiting(5),), samples=failed), 100.0)
    assert row.failures == 1
    responded = (Sample("e-0", SampleKind.FIRST, 100, 0.1),)
    entry.hear(state(2, wants=(waiting(5),), samples=responded), 100.1)
    assert row.failures == 0


class Pair:
    """Two entries that request slots from a third one, over datagrams that may be lost."""

    def __init__(self, slots: list[int]) -> None:
        self.giving = Giving(*slots)
        self.tables: list[EndpointTable] = []
        self.askers: list[Asker] = []
        self._known: list[PeerTable] = []
        for number in (1, 2):
            peer_table = PeerTable(address(number), ())
            peer_table.receive(digest(OWN), 1e9)
            table = endpoints(*slots)
            # It never becomes old enough to coordinate.
            coordinators = Coordinators(peer_table, capacity=1.0, started=2e9)
            self._known.append(peer_table)
            self.tables.append(table)
            self.askers.append(Asker(address(number), number, coordinators, table))
        self.decided: dict[str, bool] = {}
        self.running: list[tuple[Asker, Dispatcher, Job]] = []

    def hear_digests(self, now: float) -> None:
        """Mark the third entry's digest as just received by both."""
        for peer_table in self._known:
            for row in peer_table.rows:
                row.heard = now

    def exchange(self, client: Asker, now: float, *, is_lost: bool) -> None:
        """Send due states to the third entry, and its replies to the clients."""
        for _, message in client.due(now):
            if not is_lost:
                self.giving.core.take(message, now)
        self.giving.pump(now)
        for to, reply in self.giving.core.answers():
            if is_lost:
                continue
            receiver = next(one for one in self.askers if one._own == to)  # noqa: SLF001
            for decision in receiver.take(reply, now):
                assert decision.job.rid not in self.decided
                self.decided[decision.job.rid] = isinstance(decision, Placed)
                if isinstance(decision, Placed):
                    self.running.append((receiver, self.giving.dispatcher, decision.job))

    def end_one(self) -> None:
        """End the request that has been running for longest."""
        if self.running:
            client, dispatcher_, item = self.running.pop(0)
            dispatcher_.release(item)
            client.drop(item)


@given(
    slots=st.lists(st.integers(1, 3), min_size=1, max_size=3),
    steps=st.lists(
        st.tuples(st.integers(0, 1), st.integers(0, 2), st.booleans(), st.booleans()),
        max_size=40,
    ),
)
def test_slots_are_granted_once_and_released_whatever_is_lost(
    slots: list[int], steps: list[tuple[int, int, bool, bool]]
) -> None:
    pair = Pair(slots)
    now = 1e9
    for number, (client_index, tier, is_lost, ends) in enumerate(steps):
        now += 0.05
        pair.hear_digests(now)
        item = job(f"j-{number}", tier=tier, arrived=now, give_up=now + 1e6)
        item.was_weighed = True
        assert pair.askers[client_index].ask(item, now)
        if ends:
            pair.end_one()
        pair.exchange(pair.askers[client_index], now, is_lost=is_lost)
        for index, row in enumerate(pair.giving.table):
            held = [table.get(row.id) for table in pair.tables]
            assert sum(one.own for one in held if one is not None) <= slots[index]
            assert row.granted <= row.published.slots
    for _ in range(3 * len(steps) + 3):
        now += 0.3
        pair.hear_digests(now)
        pair.end_one()
        for client in pair.askers:
            pair.exchange(client, now, is_lost=False)
    assert sum(pair.decided.values()) == len(steps)
    assert sum(pair.giving.granted) == 0


def test_requests_sent_before_the_first_state_count_once() -> None:
    entry = Giving(9)
    first = state(1, wants=(waiting(1),))
    first.sends = [LateSend("e-0", 0.5), LateSend("e-0", 0.2), LateSend("e-9", 0.1)]
    entry.hear(first, 100.0)
    second = state(2, wants=(waiting(1), waiting(2)))
    second.sends = first.sends
    entry.hear(second, 100.1)
    (row,) = entry.table
    # Two that were reported, and two that were granted here.
    assert row.sends.count(100.1) == 4
    assert row.sends.count(100.1, 0.5) == 3


def test_a_slot_is_granted_only_in_allowed_halls() -> None:
    entry = Giving(1)
    elsewhere = waiting(1)
    elsewhere.halls = ["hall2"]
    reply = entry.hear(state(1, wants=(elsewhere, waiting(2))), 100.0)
    assert reply is not None
    assert [grant.number for grant in reply.grants] == [2]
