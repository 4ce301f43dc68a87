"""Failures of real processes: requests run at most once, according to the engines' logs."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Iterator

import pytest

from dockreach.agent_node import PROBE_INTERVAL_S
from dockreach.launching import Deployment, paused, wait_until
from dockreach.rendezvous import choose
from dockreach.request_parsing import keyed_rid

from .fleet import Caller, fleet, run_deployment, wait_for_running_engine


@pytest.fixture
def pair() -> Iterator[Deployment]:
    yield from run_deployment(fleet(2))


@pytest.fixture
def trio() -> Iterator[Deployment]:
    yield from run_deployment(fleet(3))


def test_request_of_a_killed_engine_is_not_run_again(pair: Deployment) -> None:
    """The response breaks off; a second run could repeat the effects of the first one."""
    caller = Caller(pair, tokens=200).wait_until_started()
    engine = wait_for_running_engine(pair)
    pair.engines[engine].kill()
    caller.wait_until_ended()
    assert not caller.is_complete
    assert b'"verdict":"ran"' in caller.data
    assert pair.run_count(caller.rid) == 0


def test_response_is_complete_after_a_restart_of_the_agent(pair: Deployment) -> None:
    """The new agent must find the run at its engine instead of starting another one."""
    caller = Caller(pair, tokens=200).wait_until_started()
    engine = wait_for_running_engine(pair)
    pair.agents[engine].kill()
    pair.restart_agent(engine)
    assert caller.wait_until_ended().is_complete
    assert pair.run_count(caller.rid) == 1


def test_request_of_a_lost_agent_gets_an_uncertain_verdict(pair: Deployment) -> None:
    """Without the agent, there is no proof that the request did not run."""
    caller = Caller(pair, tokens=400, stream=False)
    engine = wait_for_running_engine(pair)
    pair.agents[engine].kill()
    caller.wait_until_ended()
    assert caller.verdict == "may_have_run"
    assert pair.run_count(caller.rid) == 1


def test_retry_by_key_attaches_to_the_run_of_a_killed_entry(trio: Deployment) -> None:
    first = Caller(trio, "entry1", tokens=200, key="k1").wait_until_started()
    trio.entries["entry1"].kill()
    second = Caller(trio, "entry2", tokens=200, key="k1").wait_until_ended()
    assert second.is_complete
    first.wait_until_ended()
    assert trio.run_count(keyed_rid("org", "k1")) == 1


def test_retry_by_ticket_attaches_to_the_run_of_a_killed_entry(trio: Deployment) -> None:
    first = Caller(trio, "entry1", tokens=200).wait_until_started()
    trio.entries["entry1"].kill()
    ticket = first.wait_until_ended().headers["Dockreach-Ticket"]
    second = Caller(trio, "entry2", tokens=200, headers={"Dockreach-Ticket": ticket})
    assert second.wait_until_ended().is_complete
    assert trio.run_count(first.rid) == 1


def test_retry_by_key_after_entry_and_owner_of_the_key_were_killed(
    trio: Deployment,
) -> None:
    """The restarted owner has lost its claims; it must not let the request run again."""
    Caller(trio, "entry1", tokens=200, key="k2").wait_until_started()
    rid = keyed_rid("org", "k2")
    owner = choose(rid, trio.agents)
    assert owner is not None
    trio.entries["entry1"].kill()
    trio.agents[owner].kill()
    trio.restart_agent(owner)
    second = Caller(trio, "entry2", tokens=200, key="k2").wait_until_ended()
    assert trio.run_count(rid) == 1
    assert second.is_complete or second.verdict == "may_have_run"


def test_agent_that_was_stopped_and_continued_runs_nothing_twice(pair: Deployment) -> None:
    """While it is stopped it looks lost; afterwards it may still hold old commits."""
    caller = Caller(pair, tokens=400, stream=False)
    engine = wait_for_running_engine(pair)
    with paused(pair.agents[engine]):
        caller.wait_until_ended()
    assert caller.verdict == "may_have_run"
    wait_until(lambda: pair.get(pair.agents[engine], "/readyz").status == 200, "ready")
    assert Caller(pair, tokens=10).wait_until_ended().is_complete
    assert pair.run_count(caller.rid) == 1


def test_entry_that_was_stopped_and_continued_runs_nothing_twice(pair: Deployment) -> None:
    """Meanwhile another entry may have sent the request with the same key."""
    caller = Caller(pair, "entry1", tokens=60, key="k3").wait_until_started()
    with paused(pair.entries["entry1"]):
        other = Caller(pair, "entry2", tokens=60, key="k3").wait_until_ended()
    caller.wait_until_ended()
    assert other.is_complete or other.verdict == "may_have_run"
    assert pair.run_count(keyed_rid("org", "k3")) == 1


def test_response_is_resumed_after_a_cut_between_agent_and_engine(pair: Deployment) -> None:
    for name in pair.engines:
        pair.control_engine(name, cut_after=10)
    caller = Caller(pair, tokens=60).wait_until_ended()
    assert caller.is_complete
    assert pair.run_count(caller.rid) == 1


def test_chunks_that_arrive_out_of_order_are_reordered(pair: Deployment) -> None:
    for name in pair.engines:
        pair.control_engine(name, reorder=True)
    assert Caller(pair, tokens=60).wait_until_ended().is_complete


def test_stopping_an_entry_does_not_cut_responses(pair: Deployment) -> None:
    caller = Caller(pair, "entry1", tokens=150).wait_until_started()
    entry = pair.entries["entry1"]
    entry.send_signal(signal.SIGTERM)
    wait_until(lambda: pair.get(entry, "/readyz").status == 503, "readiness failing")
    late = Caller(pair, "entry1", tokens=5).wait_until_ended()
    assert late.error or late.verdict == "not_run"
    assert caller.wait_until_ended().is_complete
    assert entry.popen.wait(30) == 0


def test_stopping_an_agent_does_not_cut_responses(pair: Deployment) -> None:
    caller = Caller(pair, tokens=150).wait_until_started()
    agent = pair.agents[wait_for_running_engine(pair)]
    agent.send_signal(signal.SIGTERM)
    assert caller.wait_until_ended().is_complete
    assert agent.popen.wait(30) == 0


def test_leaving_endpoint_receives_no_new_requests(pair: Deployment) -> None:
    pair.publish_vms(leaving=("engine0",))
    agent = pair.agents["engine0"]
    wait_until(lambda: any(row.get("event") == 203 for row in agent.events()), "leaving")
    before = len(pair.run_logs()["engine0"])
    callers = [Caller(pair, tokens=10) for _ in range(12)]
    assert all(caller.wait_until_ended().is_complete for caller in callers)
    assert len(pair.run_logs()["engine0"]) == before


def test_drained_endpoint_receives_no_new_requests(pair: Deployment) -> None:
    body = pair.spec.declarations(2).replace(
        "[endpoint engine0]\n", "[endpoint engine0]\ndrained=yes\n"
    )
    pair.update_platform(config=body, revision=2)
    for process in [*pair.entries.values(), *pair.agents.values()]:
        wait_until(
            lambda process=process: any(
                row.get("revision") == 2 and row.get("event") == 300
                for row in process.events()
            ),
            "revision 2",
        )
    callers = [Caller(pair, tokens=10) for _ in range(8)]
    assert all(caller.wait_until_ended().is_complete for caller in callers)
    assert not pair.run_logs()["engine0"]


def test_run_is_cancelled_when_its_caller_leaves(pair: Deployment) -> None:
    body = b'{"model":"m","prompt":"x","max_tokens":400,"stream":true}'
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer org-key\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    entry = pair.entries["entry1"]
    conn = socket.create_connection((entry.ip, entry.http_port))
    conn.sendall(head + body)
    engine = wait_for_running_engine(pair)
    conn.close()

    def cancelled() -> bool:
        rows = pair.run_logs()[engine].values()
        return any(row["ended"] == "cancelled" for row in rows)

    wait_until(cancelled, "run cancelled at the engine")


def test_slow_engine_soon_receives_few_requests(pair: Deployment) -> None:
    """A slow engine must be detected by its runs, or callers keep waiting for it.

    Its agent goes on to measure it while it is idle, at most once in each interval.
    """
    pair.control_engine("engine0", slow=20.0)
    warm = [Caller(pair, tokens=20, prompt=f"w{index}") for index in range(6)]
    assert all(caller.wait_until_ended().is_complete for caller in warm)
    before = set(pair.run_logs()["engine0"])
    started = time.monotonic()
    callers = []
    for index in range(20):
        callers.append(Caller(pair, tokens=20, prompt=f"p{index}").wait_until_ended())
    assert all(caller.is_complete for caller in callers)
    slow_runs = pair.run_logs()["engine0"].keys() - before
    elapsed_s = time.monotonic() - started
    rids = {caller.rid for caller in callers}
    assert len(slow_runs & rids) <= 2
    assert len(slow_runs - rids) <= elapsed_s / PROBE_INTERVAL_S + 1
