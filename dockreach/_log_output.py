"""Where log lines go: standard output, without ever waiting for its reader."""

from __future__ import annotations

import logging
import os
from collections import deque

MOST_PENDING = 2000
"""Lines that are kept while the reader of standard output is slow; more are dropped and
counted. About half a megabyte."""


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor that does not block.

    Args:
        descriptor: Where to write; it is set not to block.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or keep it while the reader is slow."""
        if len(self._pending) >= MOST_PENDING:
            self.dropped += 1
            return
        if self.dropped and not self._pending:
            record.dropped_lines = self.dropped
            self.dropped = 0
        self._pending.append(self.format(record).encode() + b"\n")
        self.drain()

    def drain(self) -> None:
        """Write what is pending, as far as the reader takes it."""
        while self._pending:
            line = self._pending.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more: there is no place to say so.
                self.dropped += 1
                continue
            if written < len(line):
                self._pending.appendleft(line[written:])
                return
