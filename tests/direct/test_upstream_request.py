"""What arrives of the response to one upstream request."""

from __future__ import annotations

import tracemalloc
from itertools import repeat
from types import SimpleNamespace
from typing import Any, cast

from dockreach.direct.attempt import NO_PLACEMENT
from dockreach.direct.upstream_request import UpstreamRequest

BODY_BYTES = 1 << 18


class TinyChunks:
    """A connection whose response has a body in chunks of two bytes."""

    address = "127.0.0.1:1"

    def __init__(self) -> None:
        self._chunks = repeat(b"xy", BODY_BYTES // 2)

    def read_data(self) -> bytes | None:
        chunk = next(self._chunks, None)
        return None if chunk is None else bytes(bytearray(chunk))


def test_a_plain_body_in_tiny_chunks_holds_little_more_memory_than_its_size() -> None:
    ctx = cast(Any, SimpleNamespace(now=lambda: 0.0))
    none = cast(Any, None)
    upstream = UpstreamRequest(ctx, none, none, none, NO_PLACEMENT)
    upstream._conn = cast(Any, TinyChunks())
    tracemalloc.start()
    try:
        assert len(upstream._read_body()) == BODY_BYTES
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 4 * BODY_BYTES
