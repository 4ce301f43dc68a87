"""Divides the memory of an entry's process among what its callers can make it hold.

The parts add up to the whole: what the program itself takes, the room for large bodies, the
room for everything else that callers send, and a reserve for copies, responses and data of
the platform.
"""

from __future__ import annotations

from dataclasses import dataclass

PROGRAM_BYTES = 50_000_000
"""What the program takes with a configuration of 1,000 routes and without callers."""

COPY_BYTES = 4 << 20
"""A second copy of one body, while it is handed on: of the largest size that is usual."""

MIN_FREE_FRACTION = 0.2
"""Part of the memory that is divided where the settings leave hardly more than the program
takes: a single request of each allowed size is still served."""

BODY_FRACTION = 0.4
INPUT_FRACTION = 0.35
"""Parts of the divided memory for large bodies and for all other input. The rest holds
what the allocator keeps, responses and the platform's data."""

CONNECTION_BYTES = 10_000
"""What a connection takes that has sent nothing: its greenlet, buffers and parser."""

REQUEST_BYTES = 6_000
"""What a request takes beside its head and body from its first byte on."""

HEADER_LINE_BYTES = 200
"""What a parsed header line takes beside its bytes."""

OWN_DESCRIPTORS = 200
"""Descriptors for files, listeners, and connections to the platform and to peers."""

CONNECTION_FRACTION = 0.5
"""Part of the room for input that connections themselves may take, so that those that rest
leave room for requests."""

CALLER_DESCRIPTOR_FRACTION = 0.75
"""Part of the other descriptors for callers; the rest is for connections to endpoints."""


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """How much callers can make an entry hold.

    Attributes:
        body_bytes: Room for bodies that are reserved before they are read.
        input_bytes: Room for connections, heads, small bodies and pipelined bytes.
        max_connections: Callers' connections.
    """

    body_bytes: float
    input_bytes: float
    max_connections: int


def memory_plan(memory_mb: float, max_descriptors: int) -> MemoryPlan:
    """Return how the memory of a process is divided.

    Args:
        memory_mb: Memory that the process may use, in MB.
        max_descriptors: Descriptors that it may have open.
    """
    total = memory_mb * 1e6
    free = max(total - PROGRAM_BYTES - COPY_BYTES, MIN_FREE_FRACTION * total)
    input_bytes = INPUT_FRACTION * free
    by_memory = CONNECTION_FRACTION * input_bytes / CONNECTION_BYTES
    for_callers = CALLER_DESCRIPTOR_FRACTION * (max_descriptors - OWN_DESCRIPTORS)
    return MemoryPlan(
        body_bytes=BODY_FRACTION * free,
        input_bytes=input_bytes,
        max_connections=max(int(min(for_callers, by_memory)), 1),
    )
