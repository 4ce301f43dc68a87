"""Agent systems that run committed requests and deliver their answers.

Each request runs at most once, and its answer is delivered completely and in order.
"""

from __future__ import annotations

from .agent_tables import (
    AgentWorld,
    CancelRun,
    EngineChunk,
    EngineEnded,
    EngineNotRun,
    EngineReachable,
    EngineResumed,
    PeerDown,
    PeerUp,
    ProbeSample,
    Reader,
    ResumeRun,
    RunRow,
    StartRun,
    receive,
)
from .agent_tables import CacheEvent as CacheEventMessage
from .capacity import SMOOTHING_FACTOR
from .granting import MS_PER_S, drop_hold
from .messages import (
    Attach,
    Cancel,
    Chunk,
    ChunkAck,
    Commit,
    Ended,
    FenceReply,
    Refused,
)
from .queueing import Hold, Lane
from .verdict import Reason, Verdict


@receive.register
def _(message: Commit, world: AgentWorld, peer: str) -> None:
    run = world.runs.get(message.rid)
    if run is not None:
        run.readers.setdefault(peer, Reader())
        world.updated_runs.add(run.rid)
        return
    reason = _void_reason(world, message, peer)
    if reason is not None:
        refuse(world, message.rid, message.number, peer, reason)
        return
    grant = world.grants.pop(message.rid)
    world.holds.pop(message.rid, None)
    world.drain_rate.record_served(grant.hold.tier, world.now)
    world.counters.commits += 1
    run = RunRow(
        rid=message.rid,
        number=message.number,
        accepted_at=world.now,
        deadline=world.now + message.deadline_ms / MS_PER_S,
        hold=grant.hold,
        cached_tokens=grant.cached_tokens,
    )
    run.readers[peer] = Reader()
    world.runs[run.rid] = run
    uncached = max(1, grant.hold.prompt_tokens - grant.cached_tokens)
    world.model.record_start(run.rid, uncached, grant.hold.output_tokens, world.now)
    world.prefix.record_use(grant.hold.blocks)
    short = grant.hold.lane is Lane.SHORT
    world.actions.append(StartRun(message, grant.hold.tier, short))


def _void_reason(world: AgentWorld, message: Commit, peer: str) -> Reason | None:
    """Return why a commit must not run; ``None`` if it may."""
    if message.incarnation != world.incarnation:
        return Reason.AGENT_RESTARTED
    if message.number <= world.fences.get(message.rid, -1):
        return Reason.FENCED
    grant = world.grants.get(message.rid)
    if grant is None or grant.number != message.number or grant.hold.entry != peer:
        return Reason.GRANT_VOID
    if grant.expires_at <= world.now:
        return Reason.GRANT_VOID
    if message.deadline_ms <= 0:
        return Reason.DEADLINE
    return None


def refuse(world: AgentWorld, rid: str, number: int, entry: str, reason: Reason) -> None:
    """Answer a commit with a proof that it was not run and never will be.

    For a commit to an earlier incarnation there is no such proof: that incarnation may
    have run it, so the engine is asked instead.
    """
    if reason is Reason.AGENT_RESTARTED:
        _look_up_earlier_run(world, rid, entry, 0)
        return
    world.fence(rid, number)
    world.counters.refused += 1
    refused = Refused(rid=rid, number=number, incarnation=world.incarnation, reason=reason)
    world.send(entry, refused)


def _look_up_earlier_run(world: AgentWorld, rid: str, entry: str, from_chunk: int) -> None:
    """Ask the engine about a run that an earlier incarnation may have started."""
    world.actions.append(ResumeRun(rid, entry, from_chunk))


def _send_fence_reply(world: AgentWorld, rid: str, entry: str, verdict: Verdict) -> None:
    reply = FenceReply(
        rid=rid,
        number=world.grant_number,
        incarnation=world.incarnation,
        verdict=verdict,
    )
    world.send(entry, reply)


@receive.register
def _(message: Attach, world: AgentWorld, peer: str) -> None:
    run = world.runs.get(message.rid)
    if run is not None and run.hold.organisation not in ("", message.organisation):
        _send_fence_reply(world, message.rid, peer, Verdict.MAY_HAVE_RUN)
        return
    if run is not None:
        _attach(world, run, peer, message.from_chunk)
        return
    if message.incarnation != world.incarnation:
        _look_up_earlier_run(world, message.rid, peer, message.from_chunk)
        return
    world.fence(message.rid, world.grant_number)
    world.counters.fenced += 1
    _send_fence_reply(world, message.rid, peer, Verdict.NOT_RUN)


def _attach(world: AgentWorld, run: RunRow, entry: str, from_chunk: int) -> None:
    run.orphaned_at = None
    if from_chunk < run.first_kept:
        end = Ended(rid=run.rid, chunks=0, whole=False, reason=Reason.ANSWER_DROPPED)
        world.send(entry, end)
        return
    run.readers[entry] = Reader(sent=from_chunk, acked=from_chunk)
    world.updated_runs.add(run.rid)


@receive.register
def _(message: EngineResumed, world: AgentWorld, peer: str) -> None:
    del peer
    if not message.found:
        _send_fence_reply(world, message.rid, message.entry, Verdict.MAY_HAVE_RUN)
        return
    run = world.runs.get(message.rid)
    if run is None:
        run = _adopted_run(world, message.rid)
        world.runs[message.rid] = run
    _attach(world, run, message.entry, message.from_chunk)


def _adopted_run(world: AgentWorld, rid: str) -> RunRow:
    deadline = world.now + world.policy.retention_s
    hold = Hold(rid, "", "", 0, deadline, 1, 1, 1.0, (), world.now)
    world.model.record_start(rid, 1, 1, world.now)
    return RunRow(rid, 0, world.now, deadline, hold, 0)


@receive.register
def _(message: ChunkAck, world: AgentWorld, peer: str) -> None:
    run = world.runs.get(message.rid)
    reader = run.readers.get(peer) if run else None
    if run is None or reader is None:
        return
    reader.acked = max(reader.acked, message.upto)
    world.updated_runs.add(run.rid)


@receive.register
def _(message: Cancel, world: AgentWorld, peer: str) -> None:
    hold = world.holds.get(message.rid)
    if hold is not None and hold.entry == peer:
        drop_hold(world, hold)
    run = world.runs.get(message.rid)
    if run is None or run.end is not None:
        return
    run.readers.pop(peer, None)
    if run.readers and message.reason is not Reason.OPERATOR:
        return
    cancel_run(world, run, message.reason)


def cancel_run(world: AgentWorld, run: RunRow, reason: Reason) -> None:
    """Cancel a run at the engine and send its end to the remaining readers."""
    world.counters.cancelled += 1
    world.actions.append(CancelRun(run.rid))
    _end_run(world, run, whole=False, reason=reason)


@receive.register
def _(message: EngineChunk, world: AgentWorld, peer: str) -> None:
    del peer
    chunk = message.chunk
    run = world.runs.get(chunk.rid)
    if run is None or run.end is not None or chunk.number < run.next_chunk:
        return
    run.out_of_order[chunk.number] = chunk
    while (chunk_next := run.out_of_order.pop(run.next_chunk, None)) is not None:
        _store_chunk(world, run, chunk_next)
    world.updated_runs.add(run.rid)


def _store_chunk(world: AgentWorld, run: RunRow, chunk: Chunk) -> None:
    run.chunks.append(chunk)
    run.kept_bytes += len(chunk.data)
    world.kept_bytes += len(chunk.data)
    world.model.record_tokens(run.rid, chunk.tokens, world.now)


@receive.register
def _(message: EngineEnded, world: AgentWorld, peer: str) -> None:
    del peer
    run = world.runs.get(message.rid)
    if run is None or run.end is not None:
        return
    whole = message.whole and run.next_chunk == message.chunks
    reason = None if whole else (message.reason or Reason.ENGINE_LOST)
    _end_run(
        world,
        run,
        whole=whole,
        reason=reason,
        prefill_tokens=message.prefill_tokens,
        cached_tokens=message.cached_tokens,
    )


def _end_run(
    world: AgentWorld,
    run: RunRow,
    *,
    whole: bool,
    reason: Reason | None,
    prefill_tokens: int = 0,
    cached_tokens: int = 0,
) -> None:
    run.end = Ended(
        rid=run.rid,
        chunks=run.next_chunk,
        whole=whole,
        reason=reason,
        prefill_tokens=prefill_tokens,
        cached_tokens=cached_tokens,
    )
    run.out_of_order.clear()
    if whole:
        world.backoff_s = 0.0
        world.counters.whole += 1
    else:
        world.counters.broken += 1
    world.model.record_end(run.rid, world.now, whole=whole)
    world.ended_runs.append(run.rid)
    world.schedule_expiry("runs", run.rid)
    world.updated_runs.add(run.rid)


@receive.register
def _(message: EngineNotRun, world: AgentWorld, peer: str) -> None:
    del peer
    run = world.runs.pop(message.rid, None)
    if message.unreachable:
        world.unreachable = True
    else:
        _back_off(world)
    if run is None:
        return
    world.model.record_end(run.rid, world.now, whole=False)
    for entry in run.readers:
        refuse(world, run.rid, run.number, entry, Reason.ENGINE_REFUSED)
    world.fence(run.rid, run.number)


MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0


def _back_off(world: AgentWorld) -> None:
    """Stop granting for a while after the engine refused a request because it is busy."""
    world.backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * world.backoff_s))
    world.backoff_until = world.now + world.backoff_s


@receive.register
def _(message: EngineReachable, world: AgentWorld, peer: str) -> None:
    del message, peer
    world.unreachable = False


@receive.register
def _(message: CacheEventMessage, world: AgentWorld, peer: str) -> None:
    del peer
    if not world.prefix.apply_event(message.number, message.stored, message.evicted):
        world.counters.cache_gaps += 1


@receive.register
def _(message: ProbeSample, world: AgentWorld, peer: str) -> None:
    del peer
    model = world.model
    if message.gap is not None:
        model.gap += 2 * SMOOTHING_FACTOR * (message.gap - model.gap)
    if message.prefill_rate is not None:
        model.prefill_rate += (
            2 * SMOOTHING_FACTOR * (message.prefill_rate - model.prefill_rate)
        )


@receive.register
def _(message: PeerUp, world: AgentWorld, peer: str) -> None:
    known = world.entries.get(peer)
    world.entries[peer] = message.incarnation
    if known is not None and known != message.incarnation:
        _remove_entry(world, peer)


@receive.register
def _(message: PeerDown, world: AgentWorld, peer: str) -> None:
    del message
    _remove_entry(world, peer)


def _remove_entry(world: AgentWorld, peer: str) -> None:
    """Drop the holds of an entry that was lost or restarted.

    Its runs continue, so that an entry can attach to them later.
    """
    for hold in [row for row in world.holds.values() if row.entry == peer]:
        drop_hold(world, hold)
    for run in world.runs.values():
        if run.readers.pop(peer, None) and not run.readers and run.end is None:
            run.orphaned_at = world.now


def deliver_chunks(world: AgentWorld) -> None:
    """System: send stored chunks to each reader, up to its window."""
    for rid in world.updated_runs:
        run = world.runs.get(rid)
        if run is None:
            continue
        for entry, reader in run.readers.items():
            _deliver_to(world, run, entry, reader)
    world.updated_runs.clear()


def _deliver_to(world: AgentWorld, run: RunRow, entry: str, reader: Reader) -> None:
    first_unacked = max(reader.acked, run.first_kept)
    unacked = sum(
        len(run.chunks[index - run.first_kept].data)
        for index in range(first_unacked, reader.sent)
    )
    while reader.sent < run.next_chunk and unacked < world.policy.reader_window_bytes:
        chunk = run.chunks[reader.sent - run.first_kept]
        world.send(entry, chunk)
        reader.sent += 1
        unacked += len(chunk.data)
    if run.end is not None and reader.sent == run.next_chunk and not reader.end_sent:
        world.send(entry, run.end)
        reader.end_sent = True


def unacked_bytes(run: RunRow) -> int:
    """Return the estimated bytes that the slowest reader has not yet acknowledged.

    The adapter stops reading from the engine while there are too many.
    """
    if not run.readers:
        return 0
    acked = min(reader.acked for reader in run.readers.values())
    unacked_chunks = run.next_chunk - max(acked, run.first_kept)
    if unacked_chunks <= 0 or not run.chunks:
        return 0
    mean_bytes = run.kept_bytes / len(run.chunks)
    return int(unacked_chunks * mean_bytes)


def cancel_orphans(world: AgentWorld) -> None:
    """System: cancel runs that are past their deadline and have had no reader for long."""
    expired = [
        run
        for run in world.runs.values()
        if run.orphaned_at is not None
        and run.end is None
        and world.now > run.orphaned_at + world.policy.orphan_timeout_s
        and world.now > run.deadline
    ]
    for run in expired:
        cancel_run(world, run, Reason.CALLER_GONE)


def limit_answer_memory(world: AgentWorld) -> None:
    """System: keep the memory of stored answers under its limit.

    Chunks that a reader has not acknowledged are never dropped; the reader's window
    limits them.
    """
    if world.kept_bytes <= world.policy.max_answer_bytes:
        return
    for rid in list(world.ended_runs):
        run = world.runs.get(rid)
        if run is not None:
            _drop_acknowledged(world, run)
        if run is None or not run.chunks:
            world.ended_runs.remove(rid)
        if world.kept_bytes <= world.policy.max_answer_bytes:
            return
    for run in world.runs.values():
        _drop_acknowledged(world, run)


def _drop_acknowledged(world: AgentWorld, run: RunRow) -> None:
    """Drop the chunks that every reader has acknowledged.

    The row itself stays: it records that the request ran.
    """
    if run.readers:
        upto = min(reader.acked for reader in run.readers.values())
    elif run.end is not None:
        upto = run.next_chunk
    else:
        return
    while run.chunks and run.first_kept < upto:
        chunk = run.chunks.popleft()
        run.first_kept += 1
        run.kept_bytes -= len(chunk.data)
        world.kept_bytes -= len(chunk.data)


def remove_run(world: AgentWorld, rid: str) -> None:
    """Delete a run after its retention time; no entry can attach to it any more."""
    run = world.runs.pop(rid, None)
    if run is not None:
        world.kept_bytes -= run.kept_bytes
