"""Memory of large blocks that goes back to the system."""

from __future__ import annotations

import subprocess
import sys

import pytest

from dockreach.direct.allocator import keep_mapping_large_blocks

BLOCK_BYTES = 4 << 20
BLOCKS = 20

SCRIPT = f"""
from dockreach.direct.allocator import keep_mapping_large_blocks

def resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096

assert keep_mapping_large_blocks()
before = resident_bytes()
small = []
for _ in range({BLOCKS}):
    block = b"x" * {BLOCK_BYTES}
    small.append(b"y" * 50_000)
    del block
    large = [b"z" * {BLOCK_BYTES} for _ in range(4)]
    small.append(b"y" * 50_000)
    del large
print(resident_bytes() - before)
"""


def test_large_blocks_between_small_ones_are_returned() -> None:
    """Guards against a process that keeps the memory of all bodies that it ever held."""
    if not keep_mapping_large_blocks():
        pytest.skip("the C library has no such option")
    found = subprocess.run(
        [sys.executable, "-c", SCRIPT], capture_output=True, check=True, text=True
    )
    assert int(found.stdout) < 2 * BLOCK_BYTES
