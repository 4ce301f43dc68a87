"""Tests of an agent's runs: fences, order of chunks, memory limits, leaving."""

from __future__ import annotations

from dockreach.agent import tick
from dockreach.agent_tables import (
    AgentWorld,
    CancelRun,
    EngineChunk,
    EngineEnded,
    PeerDown,
    PeerUp,
    StartRun,
)
from dockreach.messages import (
    AnyMessage,
    Attach,
    Cancel,
    Chunk,
    ChunkAck,
    Commit,
    Displaced,
    Ended,
    FenceReply,
    Grant,
    Hold,
    Refused,
)
from dockreach.verdict import Reason, Verdict

from .cores import new_agent

HOLD = Hold(
    rid="r1",
    organisation="org",
    tier=0,
    deadline_ms=60_000,
    prompt_tokens=10,
    output_tokens=20,
)


class AgentHarness:
    """One agent, with the messages it sent and the actions it took at its engine."""

    def __init__(self) -> None:
        self.world: AgentWorld = new_agent("e0", 1, 0.0)
        self.now = 0.0
        self.sent: list[tuple[str, AnyMessage]] = []
        self.started: list[str] = []
        self.cancelled: list[str] = []
        for entry in ("n0", "n1"):
            self.put(PeerUp("entry", 1), peer=entry)

    def put(self, *messages: object, peer: str = "n0", seconds: float = 0.01) -> None:
        self.now += seconds
        output = tick(self.world, [(peer, message) for message in messages], self.now)
        self.sent += output.messages
        for action in output.actions:
            if isinstance(action, StartRun):
                self.started.append(action.commit.rid)
            elif isinstance(action, CancelRun):
                self.cancelled.append(action.rid)

    def messages_to(self, kind: type[AnyMessage], peer: str = "n0") -> list[AnyMessage]:
        return [item for to, item in self.sent if to == peer and isinstance(item, kind)]

    def grant(self) -> Grant:
        self.put(HOLD)
        grant = self.messages_to(Grant)[-1]
        assert isinstance(grant, Grant)
        return grant

    def commit(self, grant: Grant) -> Commit:
        return Commit("r1", grant.number, 1, "POST", "/", b"{}", 60_000)

    def start_run(self) -> None:
        self.put(self.commit(self.grant()))


def chunk(number: int, data: bytes = b"x") -> EngineChunk:
    return EngineChunk(Chunk("r1", number, data, 1, 200, "text/plain"))


def test_fence_voids_grant_before_its_lease_ends() -> None:
    bench = AgentHarness()
    grant = bench.grant()
    bench.put(Attach("r1", 1, "org"), peer="n1")
    reply = bench.messages_to(FenceReply, "n1")[-1]
    assert isinstance(reply, FenceReply)
    assert reply.verdict is Verdict.NOT_RUN
    bench.put(bench.commit(grant))
    assert bench.messages_to(Refused)
    assert not bench.started


def test_commit_received_twice_runs_once() -> None:
    bench = AgentHarness()
    commit = bench.commit(bench.grant())
    bench.put(commit, commit)
    bench.put(commit)
    assert bench.started == ["r1"]


def test_chunks_received_out_of_order_are_sent_in_order() -> None:
    bench = AgentHarness()
    bench.start_run()
    bench.put(chunk(2), chunk(0))
    bench.put(chunk(1), chunk(1), EngineEnded("r1", True, 3))
    numbers = [item.number for item in bench.messages_to(Chunk) if isinstance(item, Chunk)]
    assert numbers == [0, 1, 2]
    end = bench.messages_to(Ended)[-1]
    assert isinstance(end, Ended)
    assert end.whole


def test_slow_reader_is_sent_at_most_its_window() -> None:
    bench = AgentHarness()
    bench.world.policy.reader_window_bytes = 1000
    bench.start_run()
    bench.put(*(chunk(number, b"y" * 100) for number in range(50)))
    assert len(bench.messages_to(Chunk)) == 10
    bench.put(ChunkAck("r1", 10))
    assert len(bench.messages_to(Chunk)) == 20


def test_stored_answers_stay_within_memory_limit_and_run_stays_known() -> None:
    bench = AgentHarness()
    bench.world.policy.max_answer_bytes = 100
    bench.start_run()
    bench.put(chunk(0, b"y" * 500), EngineEnded("r1", True, 1))
    bench.put(ChunkAck("r1", 1))
    bench.put()
    assert bench.world.kept_bytes == 0
    bench.put(Attach("r1", 1, "org"), peer="n1")
    end = bench.messages_to(Ended, "n1")[-1]
    assert isinstance(end, Ended)
    assert end.reason is Reason.ANSWER_DROPPED


def test_unacknowledged_chunks_are_never_dropped() -> None:
    bench = AgentHarness()
    bench.world.policy.max_answer_bytes = 100
    bench.start_run()
    bench.put(chunk(0, b"y" * 500), chunk(1, b"z" * 500))
    bench.put()
    assert bench.world.kept_bytes == 1000


def test_run_is_cancelled_only_by_its_last_reader() -> None:
    bench = AgentHarness()
    bench.start_run()
    bench.put(Attach("r1", 1, "org"), peer="n1")
    bench.put(Cancel("r1"))
    assert not bench.cancelled
    bench.put(Cancel("r1"), peer="n1")
    assert bench.cancelled == ["r1"]


def test_run_without_entry_is_cancelled_only_after_its_deadline() -> None:
    bench = AgentHarness()
    bench.start_run()
    bench.put(PeerDown())
    bench.put(seconds=50.0)
    assert not bench.cancelled
    bench.put(seconds=50.0)
    assert bench.cancelled == ["r1"]


def test_leaving_agent_displaces_new_holds() -> None:
    bench = AgentHarness()
    bench.world.leaving = True
    bench.put(HOLD)
    displaced = bench.messages_to(Displaced)[-1]
    assert isinstance(displaced, Displaced)
    assert displaced.reason is Reason.STOPPING
    assert not bench.messages_to(Grant)


def test_grant_sent_before_leaving_stays_valid() -> None:
    bench = AgentHarness()
    grant = bench.grant()
    bench.world.leaving = True
    bench.put(bench.commit(grant))
    assert bench.started == ["r1"]


def test_commit_with_superseded_grant_of_another_entry_is_refused() -> None:
    bench = AgentHarness()
    first_grant = bench.grant()
    bench.put(HOLD, peer="n1")
    assert bench.messages_to(Grant, "n1")
    bench.put(bench.commit(first_grant))
    assert bench.messages_to(Refused)
    assert not bench.started
