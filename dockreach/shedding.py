"""Entry systems that end requests: refusals, deadlines, memory limit and the floor.

The floor is the lowest tier that is accepted while memory is short. Entries send it to
each other and to the agents; all tiers below it are refused until it expires.
"""

from __future__ import annotations

import heapq

from . import placement
from .entry_tables import CallerGone, EntryWorld, Phase, RequestRow, receive
from .granting import MS_PER_S
from .messages import Cancel, Floor, Withdraw
from .outcome_history import OutcomeGroup
from .verdict import Reason, Refusal, Verdict

SHED_RETRY_AFTER_S = 1.0
"""Retry-After of a request that was shed or that missed its deadline while waiting."""


def waiting_verdict(req: RequestRow) -> Verdict:
    """Return the verdict on a request whose current attempt was not run.

    A keyed request whose owner has not answered may have run in an earlier attempt.
    """
    if req.keyed and req.claim is None:
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN


def committed_verdict(req: RequestRow) -> Verdict:
    """Return the verdict on a committed request without a proof that it was not run."""
    return Verdict.MAY_HAVE_RUN if req.first_chunk_at is None else Verdict.RAN


def finish(world: EntryWorld, req: RequestRow, refusal: Refusal | None) -> None:
    """End a request with a refusal, or with its complete answer if that is ``None``."""
    if req.phase is Phase.DONE:
        return
    for name in sorted(req.asked_agents):
        world.send(name, Withdraw(rid=req.rid))
        world.requests_at_agent.get(name, set()).discard(req.rid)
    world.requests_at_agent.get(req.agent, set()).discard(req.rid)
    world.remove_waiting(req)
    world.undecided.discard(req.rid)
    req.phase = Phase.DONE
    req.refusal = refusal
    req.finished_at = world.now
    req.body = b""
    req.asked_agents.clear()
    req.early_chunks.clear()
    world.limits.release(req.organisation)
    _record_outcome(world, req, refusal)
    _retain_ended(world, req)
    world.callers_to_wake[req.caller] = req


UNCOUNTED_REASONS = frozenset(
    {Reason.CALLER_GONE, Reason.OPERATOR, Reason.KEY_REUSED, Reason.SUPERSEDED}
)
"""Refusals caused by the caller or an operator; they don't count against the objective."""


def _record_outcome(world: EntryWorld, req: RequestRow, refusal: Refusal | None) -> None:
    if refusal is None or refusal.reason not in UNCOUNTED_REASONS:
        good = refusal is None and world.now <= req.deadline
        world.history.record(OutcomeGroup(req.tier, req.organisation), good, world.now)
    if refusal is None:
        world.counters.whole += 1
        world.record_decision(req, "whole", req.agent)
        return
    if req.first_chunk_at is not None:
        world.counters.broken += 1
    key = (req.tier, refusal.reason, refusal.verdict)
    world.counters.refusals[key] = world.counters.refusals.get(key, 0) + 1
    world.record_decision(req, "refused", detail=f"{refusal.reason}, {refusal.verdict}")


def _retain_ended(world: EntryWorld, req: RequestRow) -> None:
    world.requests.pop(req.rid, None)
    world.ended.append(req)
    while len(world.ended) > world.policy.max_ended:
        world.ended.popleft()


@receive.register
def _(message: CallerGone, world: EntryWorld, peer: str) -> None:
    del peer
    req = world.requests.get(message.rid)
    if req is None or req.caller != message.caller:
        return
    if req.phase in (Phase.COMMITTED, Phase.UNCLEAR) and not req.keyed:
        world.send(req.agent, Cancel(rid=req.rid, reason=message.reason))
    if req.phase in (Phase.COMMITTED, Phase.UNCLEAR):
        verdict = committed_verdict(req)
    else:
        verdict = waiting_verdict(req)
    finish(world, req, Refusal(verdict, message.reason))


@receive.register
def _(message: Floor, world: EntryWorld, peer: str) -> None:
    """Refuse the tiers below another entry's floor, so that it sheds no higher ones."""
    del peer
    until = world.now + message.lease_ms / MS_PER_S
    if current_floor(world) is None or message.tier <= (world.floor_tier or 0):
        world.floor_tier = message.tier
        world.floor_until = until
    for req in _waiting_below(world, message.tier):
        _shed_request(world, req, Reason.FLOOR)


def current_floor(world: EntryWorld) -> int | None:
    """Return the lowest tier that is accepted now; ``None`` if all are."""
    return world.floor_tier if world.now < world.floor_until else None


def refuse_below_floor(world: EntryWorld, req: RequestRow) -> bool:
    """Refuse a new request if it is below the floor; return whether it was refused."""
    lowest = current_floor(world)
    if lowest is None or req.tier <= lowest:
        return False
    _shed_request(world, req, Reason.FLOOR)
    return True


def limit_memory(world: EntryWorld) -> None:
    """System: raise the floor before memory runs out, then shed the lowest tiers first."""
    policy = world.policy
    if world.waiting_bytes > policy.waiting_bytes * policy.floor_fraction:
        _raise_floor(world)
    while world.waiting_bytes > policy.waiting_bytes:
        req = _newest_of_lowest_tier(world)
        if req is None:
            return
        _shed_request(world, req, Reason.SHED)


def _raise_floor(world: EntryWorld) -> None:
    """Refuse the lowest waiting tier and all below it, here and at all linked peers.

    If only one tier waits, it is still accepted and all below it are refused. While
    memory stays short this is repeated, so the floor rises step by step.
    """
    lease_s = world.policy.floor_lease_s
    if world.now < world.floor_sent_at + lease_s / 2:
        return
    waiting_tiers = sorted(tier for tier, table in world.waiting.items() if table)
    lowest = waiting_tiers[-2] if len(waiting_tiers) > 1 else waiting_tiers[-1]
    world.floor_tier = lowest
    world.floor_until = world.now + lease_s
    world.floor_sent_at = world.now
    message = Floor(tier=lowest, lease_ms=int(lease_s * MS_PER_S))
    for peer in [*world.agents, *world.entries]:
        world.send(peer, message)
    for req in _waiting_below(world, lowest):
        _shed_request(world, req, Reason.FLOOR)


def _waiting_below(world: EntryWorld, tier: int) -> list[RequestRow]:
    return [
        req
        for rank, table in world.waiting.items()
        if rank > tier
        for req in list(table.values())
        if req.phase is Phase.WAITING
    ]


def _newest_of_lowest_tier(world: EntryWorld) -> RequestRow | None:
    for tier in sorted(world.waiting, reverse=True):
        table = world.waiting[tier]
        if table:
            return table[next(reversed(table))]
    return None


def _shed_request(world: EntryWorld, req: RequestRow, reason: Reason) -> None:
    finish(world, req, Refusal(waiting_verdict(req), reason, "", SHED_RETRY_AFTER_S))


def run_timers(world: EntryWorld) -> None:
    """System: handle the requests whose timer has expired."""
    while world.timers and world.timers[0][0] <= world.now:
        _, rid = heapq.heappop(world.timers)
        req = world.requests.get(rid)
        if req is not None:
            _on_timer(world, req)


def _on_timer(world: EntryWorld, req: RequestRow) -> None:
    if req.is_waiting:
        if world.now >= req.deadline:
            refusal = Refusal(waiting_verdict(req), Reason.DEADLINE, "", SHED_RETRY_AFTER_S)
            finish(world, req, refusal)
        elif req.widen_at and world.now >= req.widen_at:
            placement.send_holds(world, req)
        world.undecided.add(req.rid)
        return
    if req.phase is Phase.UNCLEAR and world.now >= req.unclear_until:
        _refuse_unclear(world, req)
        return
    if world.now >= req.deadline + world.policy.grace_s:
        if not req.keyed:
            world.send(req.agent, Cancel(rid=req.rid, reason=Reason.DEADLINE))
        verdict = committed_verdict(req)
        finish(world, req, Refusal(verdict, Reason.DEADLINE))


def _refuse_unclear(world: EntryWorld, req: RequestRow) -> None:
    """Refuse a request whose agent is unreachable; whether it ran is unknown."""
    world.counters.unclear += 1
    verdict = committed_verdict(req)
    detail = f"the agent of {req.agent} is unreachable"
    finish(world, req, Refusal(verdict, Reason.AGENT_UNREACHABLE, detail))
