"""Has the C library return freed bodies to the system.

glibc takes blocks above a threshold from mapped pages, which it returns when they are
freed. But it raises the threshold with each such block, up to 32 MB: large bodies would
soon lie among small blocks, and most of their memory would stay with the process.
"""

from __future__ import annotations

import ctypes

MAPPED_BLOCK_BYTES = 128 * 1024
"""Size from which blocks are mapped, in bytes: the value with which glibc begins."""

_M_MMAP_THRESHOLD = -3


def keep_mapping_large_blocks() -> bool:
    """Keep the threshold where it is; return whether the C library supports that."""
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(set_option(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES))
