"""The tables that operators can query, one function for each table."""

from __future__ import annotations

from collections.abc import Iterator
from functools import singledispatch

from .agent_tables import AgentWorld
from .entry_tables import EntryWorld, RequestRow
from .outcome_history import BURN_WINDOWS_S
from .query import Row


@singledispatch
def table_rows(world: object, table: str) -> Iterator[Row]:
    """Return this daemon's rows of a table.

    Args:
        world: State of the daemon.
        table: Name of the table; a daemon without this table returns no rows.
    """
    raise TypeError(f"no rows of {type(world).__name__} for {table}")


@table_rows.register
def _(world: EntryWorld, table: str) -> Iterator[Row]:
    if table == "requests":
        yield from _request_rows(world)
    elif table == "members":
        yield from _member_rows(world)
    elif table == "orgs":
        yield from _organisation_rows(world)
    elif table == "burn":
        yield from _burn_rows(world)


@table_rows.register
def _(world: AgentWorld, table: str) -> Iterator[Row]:
    if table == "engines":
        yield _engine_row(world)


def _request_rows(world: EntryWorld) -> Iterator[Row]:
    for req in world.requests.values():
        yield request_row(world, req)


def request_row(world: EntryWorld, req: RequestRow) -> Row:
    """Return the row of one request; its age and the time left are in seconds."""
    return {
        "request": req.rid,
        "tier": world.declarations.tier_names_by_rank.get(req.tier, str(req.tier)),
        "organisation": req.organisation,
        "state": req.phase.value,
        "entry": world.name,
        "engine": req.agent,
        "pool": req.pool,
        "age": round(world.now - req.arrived_at, 2),
        "left": round(req.deadline - world.now, 2),
        "prompt_tokens": req.prompt_tokens,
        "asked": len(req.asked_agents),
    }


def _member_rows(world: EntryWorld) -> Iterator[Row]:
    for agent in world.agents.values():
        yield {
            "member": agent.name,
            "role": "agent",
            "hall": agent.hall,
            "seen_from": world.name,
            "linked": agent.linked,
            "leaving": agent.leaving,
            "incarnation": agent.incarnation,
        }
    for name in world.entries:
        yield {
            "member": name,
            "role": "entry",
            "seen_from": world.name,
            "linked": True,
            "leaving": False,
        }


def _organisation_rows(world: EntryWorld) -> Iterator[Row]:
    for name, share in world.limits.shares.items():
        organisation = world.declarations.organisations.get(name)
        if organisation is None:
            continue
        yield {
            "organisation": name,
            "entry": world.name,
            "running": share.running,
            "requests_per_s": organisation.requests_per_s,
            "tokens_per_s": organisation.tokens_per_s,
            "concurrency": organisation.concurrency,
            "usable_part": round(world.limits.usable_fraction(name, world.now), 4),
            "seen": share.requests_seen,
        }


def _burn_rows(world: EntryWorld) -> Iterator[Row]:
    uptime = world.now - world.started
    for window in BURN_WINDOWS_S:
        for group, counts in world.history.totals(window, world.now).items():
            yield {
                "entry": world.name,
                "tier": world.declarations.tier_names_by_rank.get(
                    group.tier, str(group.tier)
                ),
                "organisation": group.organisation,
                "window": window,
                "good": counts.good,
                "total": counts.total,
                "covered": min(window, uptime),
            }


def _engine_row(world: AgentWorld) -> Row:
    model = world.model
    return {
        "engine": world.name,
        "queue": len(world.queue),
        "runs": len(model.runs),
        "window": round(model.window, 1),
        "slots": model.slots,
        "prefill_rate": round(model.prefill_rate),
        "gap_ms": round(1000 * model.gap, 1),
        "lateness": round(model.lateness, 2),
        "state": _engine_state(world),
        "cached_blocks": len(world.prefix),
    }


def _engine_state(world: AgentWorld) -> str:
    for name in ("leaving", "drained", "unreachable"):
        if getattr(world, name):
            return name
    return "suspect" if world.model.is_suspect(world.now) else "open"


def decision_rows(world: EntryWorld, rid: str) -> Iterator[Row]:
    """Return the decisions about a running or recently ended request, in order of time."""
    ended = [req for req in world.ended if req.rid == rid]
    running = [world.requests[rid]] if rid in world.requests else []
    for req in [*ended, *running]:
        for step in req.decisions:
            yield {
                "entry": world.name,
                "at_ms": round(1000 * (step.at - req.arrived_at)),
                "decision": step.event,
                "peer": step.peer,
                "detail": step.detail,
            }
