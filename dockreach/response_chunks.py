"""Entry systems that put the chunks of a response in order and acknowledge them."""

from __future__ import annotations

from . import shedding
from .entry_tables import ChunksDelivered, EntryWorld, Phase, RequestRow, receive
from .messages import Cancel, Chunk, ChunkAck, Ended
from .verdict import Reason, Refusal


@receive.register
def _(message: Chunk, world: EntryWorld, peer: str) -> None:
    req = world.requests.get(message.rid)
    if req is None:
        world.send(peer, Cancel(rid=message.rid))
        return
    if req.agent != peer or req.phase not in (Phase.COMMITTED, Phase.UNCLEAR):
        return
    req.phase = Phase.COMMITTED
    if message.number < req.next_chunk:
        return
    if len(req.early_chunks) < world.policy.max_early_chunks:
        req.early_chunks[message.number] = message
    while (chunk := req.early_chunks.pop(req.next_chunk, None)) is not None:
        _append_chunk(world, req, chunk)
    _finish_if_complete(world, req)


def _append_chunk(world: EntryWorld, req: RequestRow, chunk: Chunk) -> None:
    if req.first_chunk_at is None:
        req.first_chunk_at = world.now
        world.record_decision(req, "first chunk", req.agent)
    req.ready_chunks.append(chunk)
    req.next_chunk += 1
    world.callers_to_wake[req.caller] = req


@receive.register
def _(message: Ended, world: EntryWorld, peer: str) -> None:
    req = world.requests.get(message.rid)
    if req is None or req.agent != peer:
        return
    if req.phase not in (Phase.COMMITTED, Phase.UNCLEAR):
        return
    req.end = message
    _finish_if_complete(world, req)


def _finish_if_complete(world: EntryWorld, req: RequestRow) -> None:
    """End a request if its run failed, or once all chunks of its response arrived."""
    if req.end is None:
        return
    if not req.end.whole:
        reason = req.end.reason or Reason.ENGINE_LOST
        verdict = shedding.committed_verdict(req)
        shedding.finish(world, req, Refusal(verdict, reason, "the response is incomplete"))
        return
    if req.next_chunk < req.end.chunks:
        return
    world.to_ack.discard(req.rid)
    world.send(req.agent, ChunkAck(rid=req.rid, upto=req.next_chunk))
    shedding.finish(world, req, None)


@receive.register
def _(message: ChunksDelivered, world: EntryWorld, peer: str) -> None:
    del peer
    req = world.requests.get(message.rid)
    if req is None or req.caller != message.caller:
        return
    req.delivered_chunks = max(req.delivered_chunks, message.upto)
    req.unacked_bytes += message.size
    world.to_ack.add(req.rid)


ACK_AFTER_CHUNKS = 16
"""Chunks delivered to the caller after which they are acknowledged."""

ACK_AFTER_BYTES = 64 << 10
"""Bytes delivered to the caller after which they are acknowledged."""


def acknowledge(world: EntryWorld) -> None:
    """System: acknowledge chunks that were delivered to callers, several at a time."""
    for rid in world.to_ack:
        req = world.requests.get(rid)
        if req is None or req.phase is not Phase.COMMITTED:
            continue
        if (
            req.delivered_chunks < req.acked_chunks + ACK_AFTER_CHUNKS
            and req.unacked_bytes < ACK_AFTER_BYTES
        ):
            continue
        req.acked_chunks = req.delivered_chunks
        req.unacked_bytes = 0
        world.send(req.agent, ChunkAck(rid=rid, upto=req.acked_chunks))
    world.to_ack.clear()
