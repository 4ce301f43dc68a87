"""Property test of the decision cores of entries and agents under random faults."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dockreach.agent_tables import (
    EngineChunk,
    EngineEnded,
    EngineNotRun,
    EngineResumed,
)
from dockreach.claims import begin_rebuild
from dockreach.messages import Chunk
from dockreach.verdict import Verdict

from .cores import SimulatedNetwork, new_admit, new_network

CHUNKS = 3


class Dispatch(RuleBasedStateMachine):
    """Two entries and three agents whose engines run dispatched requests and keep them.

    Owner, agent and entry each know of a request; at most one of the three loses its
    state at a time, because each restart waits until the claims are rebuilt.
    """

    def __init__(self) -> None:
        super().__init__()
        self.net: SimulatedNetwork = new_network(endpoints=3, entries=2)
        self.count = 0
        self.keys: list[str] = []
        self.engine_chunks: dict[tuple[str, str], int] = {}
        self.verdicts: dict[str, Verdict] = {}
        self.restarts = 0

    @rule(keyed=st.booleans(), entry=st.sampled_from(["n0", "n1"]), tier=st.integers(0, 2))
    def send(self, keyed: bool, entry: str, tier: int) -> None:
        self.count += 1
        rid = f"k-{self.count}" if keyed else f"r-{self.count}"
        if keyed:
            self.keys.append(rid)
        self.net.deliver(entry, new_admit(rid, tier=tier, key=keyed))
        self.net.step()

    @rule(entry=st.sampled_from(["n0", "n1"]), data=st.data())
    def send_again(self, entry: str, data: st.DataObject) -> None:
        if self.keys:
            rid = data.draw(st.sampled_from(self.keys))
            self.net.deliver(entry, new_admit(rid, key=True))
            self.net.step()

    @rule(count=st.integers(1, 8))
    def step(self, count: int) -> None:
        self.net.steps(count)

    @rule()
    def wait(self) -> None:
        self.net.steps(3, 0.5)

    @rule(data=st.data(), refuse=st.booleans())
    def engine_works(self, data: st.DataObject, refuse: bool) -> None:
        running = [key for key, done in self._update_engines().items() if done < CHUNKS]
        if not running:
            return
        agent, rid = data.draw(st.sampled_from(sorted(running)))
        done = self.engine_chunks[agent, rid]
        if refuse and done == 0:
            # The engine refused the request, so this dispatch does not count as a run.
            self.net.dispatched.remove((agent, rid))
            del self.engine_chunks[agent, rid]
            self.net.deliver(agent, EngineNotRun(rid))
        else:
            self.engine_chunks[agent, rid] = done + 1
            chunk = Chunk(rid, done, b"x", 1, 200, "text/plain")
            self.net.deliver(agent, EngineChunk(chunk))
            if done + 1 == CHUNKS:
                self.net.deliver(agent, EngineEnded(rid, True, CHUNKS))
        self.net.step()

    @rule(entry=st.sampled_from(["n0", "n1"]), agent=st.sampled_from(["e0", "e1", "e2"]))
    def cut(self, entry: str, agent: str) -> None:
        self.net.unlink(entry, agent)
        self.net.step()

    @rule()
    def heal(self) -> None:
        self.net.paused.clear()
        for pair in list(self.net.cut_links):
            entry, agent = sorted(pair, reverse=True)
            self.net.link(entry, agent)
        self.net.steps(4)

    @rule(name=st.sampled_from(["n0", "n1", "e0", "e1", "e2"]))
    def freeze(self, name: str) -> None:
        self.net.paused.add(name)

    @rule(agent=st.sampled_from(["e0", "e1", "e2"]))
    def restart(self, agent: str) -> None:
        if (
            self.restarts
            or agent in self.net.paused
            or self.net.cut_links
            or self.net.paused
        ):
            return
        self.restarts += 1
        self.net.restart_agent(agent)
        self.net.steps(4, 0.4)
        begin_rebuild(self.net.agents[agent])
        self.net.steps(6)
        self.restarts -= 1

    @invariant()
    def each_request_runs_at_most_once(self) -> None:
        for rid in {rid for _, rid in self.net.dispatched}:
            assert self.net.run_count(rid) <= 1

    @invariant()
    def not_run_verdict_is_correct(self) -> None:
        for world in self.net.entries.values():
            for row in world.ended:
                if row.refusal is None or row.keyed:
                    continue
                if row.refusal.verdict is Verdict.NOT_RUN:
                    assert self.net.run_count(row.rid) == 0

    @invariant()
    def answers_are_complete_and_in_order(self) -> None:
        for world in self.net.entries.values():
            for row in world.ended:
                if row.refusal is None and row.agent:
                    numbers = [chunk.number for chunk in row.ready_chunks]
                    assert numbers == list(range(CHUNKS))

    def _update_engines(self) -> dict[tuple[str, str], int]:
        for key in self.net.dispatched:
            self.engine_chunks.setdefault(key, 0)
        for agent, action in self.net.lookups:
            known = (agent, action.rid) in self.engine_chunks
            answer = EngineResumed(action.rid, action.entry, known, 0)
            self.net.deliver(agent, answer)
            if known:
                done = self.engine_chunks[agent, action.rid]
                for number in range(done):
                    chunk = Chunk(action.rid, number, b"x", 1, 200, "text/plain")
                    self.net.deliver(agent, EngineChunk(chunk))
                if done == CHUNKS:
                    self.net.deliver(agent, EngineEnded(action.rid, True, CHUNKS))
        self.net.lookups.clear()
        return self.engine_chunks


TestDispatch = Dispatch.TestCase
TestDispatch.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
