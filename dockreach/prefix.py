"""Prefix blocks of a prompt, and an agent's model of its engine's prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from hashlib import blake2b

CHARS_PER_TOKEN = 4
"""Assumed mean length of a token in characters; no tokenizer is used."""

BLOCK_TOKENS = 64
"""Number of tokens in one prefix block."""

BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN

MAX_BLOCKS = 1024
"""Maximum number of blocks hashed per prompt; the rest counts as not cached."""


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens in a text; at least 1."""
    return max(1, len(text) // CHARS_PER_TOKEN)


def block_hashes(text: str) -> tuple[int, ...]:
    """Return a hash for each complete block; it also covers all blocks before it."""
    hashes = []
    digest = b""
    count = min(len(text) // BLOCK_CHARS, MAX_BLOCKS)
    for index in range(count):
        block = text[index * BLOCK_CHARS : (index + 1) * BLOCK_CHARS]
        digest = blake2b(digest + block.encode(), digest_size=8).digest()
        hashes.append(int.from_bytes(digest, "big") >> 1)
    return tuple(hashes)


class PrefixIndex:
    """The blocks that an engine probably caches, least recently used first.

    The index records what the agent itself dispatched, and the engine's cache events
    correct it. It is used for estimates only, so errors in it do no harm.

    Args:
        capacity: Number of blocks that the engine's cache holds.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._last_event = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_tokens(self, blocks: Sequence[int]) -> int:
        """Return how many tokens of a prompt with these blocks are cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count * BLOCK_TOKENS

    def record_use(self, blocks: Iterable[int]) -> None:
        """Record that a prompt with these blocks was prefilled or reused."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity:
            self._blocks.popitem(last=False)

    def apply_event(
        self, number: int, stored: Iterable[int], evicted: Iterable[int]
    ) -> bool:
        """Apply one cache event of the engine.

        Args:
            number: The event's number; numbers of one engine rise by one.
            stored: Blocks now cached.
            evicted: Blocks no longer cached.

        Returns:
            Whether no event was missed before this one. After a gap it is unknown which
            blocks the lost events evicted, so the index is cleared.
        """
        if number <= self._last_event:
            return True
        in_order = self._last_event in (0, number - 1)
        if not in_order:
            self._blocks.clear()
        self._last_event = number
        for block in evicted:
            self._blocks.pop(block, None)
        self.record_use(stored)
        return in_order
