"""A log handler that never blocks on a slow reader of its output."""

from __future__ import annotations

import logging
import os
from collections import deque

MAX_PENDING_LINES = 2000
"""Maximum lines buffered while the reader is slow, about half a megabyte; further lines are
dropped and counted."""


class NonBlockingHandler(logging.Handler):
    """Writes log lines to a file descriptor in non-blocking mode.

    Args:
        descriptor: File descriptor, which is set to non-blocking mode.

    Attributes:
        dropped: Lines dropped and not yet reported; the next line that finds the buffer
            empty reports them in its field ``dropped_lines``.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._pending: deque[bytes] = deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or buffer it while the descriptor would block."""
        if len(self._pending) >= MAX_PENDING_LINES:
            self.dropped += 1
            return
        if self.dropped and not self._pending:
            record.dropped_lines = self.dropped
            self.dropped = 0
        self._pending.append(self.format(record).encode() + b"\n")
        self.write_pending()

    def write_pending(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._pending:
            line = self._pending.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed its end, so the error cannot be logged either.
                self.dropped += 1
                continue
            if written < len(line):
                self._pending.appendleft(line[written:])
                return
