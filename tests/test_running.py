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
    harness = AgentHarness()
    grant = harness.grant()
    harness.put(Attach("r1", 1, "org"), peer="n1")
    reply = harness.messages_to(FenceReply, "n1")[-1]
    assert isinstance(reply, FenceReply)
    assert reply.verdict is Verdict.NOT_RUN
    harness.put(harness.commit(grant))
    assert harness.messages_to(Refused)
    assert not harness.started


def test_commit_received_twice_runs_once() -> None:
    harness = AgentHarness()
    commit = harness.commit(harness.grant())
    harness.put(commit, commit)
    harness.put(commit)
    assert harness.started == ["r1"]


def test_chunks_received_out_of_order_are_sent_in_order() -> None:
    harness = AgentHarness()
    harness.start_run()
    harness.put(chunk(2), chunk(0))
    harness.put(chunk(1), chunk(1), EngineEnded("r1", True, 3))
    numbers = [
        item.number for item in harness.messages_to(Chunk) if isinstance(item, Chunk)
    ]
    assert numbers == [0, 1, 2]
    end = harness.messages_to(Ended)[-1]
    assert isinstance(end, Ended)
    assert end.whole


def test_slow_reader_is_sent_at_most_its_window() -> None:
    harness = AgentHarness()
    harness.world.policy.reader_window_bytes = 1000
    harness.start_run()
    harness.put(*(chunk(number, b"y" * 100) for number in range(50)))
    assert len(harness.messages_to(Chunk)) == 10
    harness.put(ChunkAck("r1", 10))
    assert len(harness.messages_to(Chunk)) == 20


def test_stored_answers_stay_within_memory_limit_and_run_stays_known() -> None:
    harness = AgentHarness()
    harness.world.policy.max_answer_bytes = 100
    harness.start_run()
    harness.put(chunk(0, b"y" * 500), EngineEnded("r1", True, 1))
    harness.put(ChunkAck("r1", 1))
    harness.put()
    assert harness.world.kept_bytes == 0
    harness.put(Attach("r1", 1, "org"), peer="n1")
    end = harness.messages_to(Ended, "n1")[-1]
    assert isinstance(end, Ended)
    assert end.reason is Reason.ANSWER_DROPPED


def test_unacknowledged_chunks_are_never_dropped() -> None:
    harness = AgentHarness()
    harness.world.policy.max_answer_bytes = 100
    harness.start_run()
    harness.put(chunk(0, b"y" * 500), chunk(1, b"z" * 500))
    harness.put()
    assert harness.world.kept_bytes == 1000


def test_run_is_cancelled_only_by_its_last_reader() -> None:
    harness = AgentHarness()
    harness.start_run()
    harness.put(Attach("r1", 1, "org"), peer="n1")
    harness.put(Cancel("r1"))
    assert not harness.cancelled
    harness.put(Cancel("r1"), peer="n1")
    assert harness.cancelled == ["r1"]


def test_run_without_entry_is_cancelled_only_after_its_deadline() -> None:
    harness = AgentHarness()
    harness.start_run()
    harness.put(PeerDown())
    harness.put(seconds=50.0)
    assert not harness.cancelled
    harness.put(seconds=50.0)
    assert harness.cancelled == ["r1"]


def test_leaving_agent_displaces_new_holds() -> None:
    harness = AgentHarness()
    harness.world.leaving = True
    harness.put(HOLD)
    displaced = harness.messages_to(Displaced)[-1]
    assert isinstance(displaced, Displaced)
    assert displaced.reason is Reason.STOPPING
    assert not harness.messages_to(Grant)


def test_grant_sent_before_leaving_stays_valid() -> None:
    harness = AgentHarness()
    grant = harness.grant()
    harness.world.leaving = True
    harness.put(harness.commit(grant))
    assert harness.started == ["r1"]


def test_commit_with_superseded_grant_of_another_entry_is_refused() -> None:
    harness = AgentHarness()
    first_grant = harness.grant()
    harness.put(HOLD, peer="n1")
    assert harness.messages_to(Grant, "n1")
    harness.put(harness.commit(first_grant))
    assert harness.messages_to(Refused)
    assert not harness.started
