"""Joins the small chunks of a chunked body, so that parsing costs little for each byte.

A parser takes tens of microseconds for each chunk, and a peer can send a chunk for each
byte. Complete small chunks that have arrived together are rewritten as one (RFC 9112,
section 7.1); whatever is not plainly such a chunk is passed on unchanged.
"""

from __future__ import annotations

import re

MAX_JOINED_BYTES = 1024
"""Most bytes of received data that are joined in one step."""

_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;[^\r\n]*)?[ \t]*\r\n")
_LINE_END = b"\r\n"


class ChunkJoiner:
    """Rewrites one chunked body, from its first chunk on."""

    def __init__(self) -> None:
        self._raw_left = 0
        self._is_raw = False

    def take(self, pending: bytearray) -> bytes:
        """Remove the next bytes from what was received; return them for the parser.

        Args:
            pending: Received bytes that the parser does not have yet.

        Returns:
            About `MAX_JOINED_BYTES` at most, with the same data as the removed bytes; empty
            if the line of a chunk is not complete.
        """
        if self._is_raw or self._raw_left:
            return self._pass_on(pending)
        window = bytes(pending[:MAX_JOINED_BYTES])
        chunks, end = _complete_chunks(window)
        if chunks:
            del pending[:end]
            data = b"".join(chunks)
            return b"%x\r\n%s\r\n" % (len(data), data)
        line = _CHUNK_LINE.match(window)
        if line is not None and (size := int(line[1], 16)):
            self._raw_left = line.end() + size + len(_LINE_END)
        else:
            # The last chunk, or something that only the parser can judge.
            is_whole_line = _LINE_END in window or len(window) == MAX_JOINED_BYTES
            self._is_raw = is_whole_line
        return self._pass_on(pending)

    def _pass_on(self, pending: bytearray) -> bytes:
        """Remove bytes that are not joined, and return them."""
        size = MAX_JOINED_BYTES if self._is_raw else min(self._raw_left, MAX_JOINED_BYTES)
        taken = bytes(pending[:size])
        del pending[:size]
        if not self._is_raw:
            self._raw_left -= len(taken)
        return taken


def _complete_chunks(window: bytes) -> tuple[list[bytes], int]:
    """Return the data of the complete chunks at the start, and where the last one ends."""
    chunks = []
    end = 0
    while (line := _CHUNK_LINE.match(window, end)) is not None:
        data_end = line.end() + int(line[1], 16)
        chunk_end = data_end + len(_LINE_END)
        if data_end == line.end() or window[data_end:chunk_end] != _LINE_END:
            break
        chunks.append(window[line.end() : data_end])
        end = chunk_end
    return chunks, end
