"""Exceptions of the package; all derive from `DockreachError`."""

from __future__ import annotations


class DockreachError(Exception):
    """Base of all exceptions raised by the package."""


class SettingsError(DockreachError):
    """A settings or declarations file is invalid.

    Args:
        file: Name of the file.
        section: Section with the error; empty if it concerns the whole file.
        key: Key with the error; empty if it concerns the whole section.
        problem: What is wrong and what is allowed.
    """

    def __init__(self, file: str, section: str, key: str, problem: str) -> None:
        self.file = file
        self.section = section
        self.key = key
        self.problem = problem
        location = file
        if section:
            location += f" [{section}]"
        if key:
            location += f" {key}"
        super().__init__(f"{location}: {problem}")


class RevisionError(DockreachError):
    """A configuration revision was rejected; the message gives the reason."""


class QueryError(DockreachError):
    """A query could not be parsed; the message shows the position."""


class PlatformError(DockreachError):
    """The platform service sent no response or an invalid one."""


class CallerGoneError(DockreachError):
    """The caller closed its connection before its response was complete."""


class ConnectionEvictedError(DockreachError):
    """A connection is closed, as callers have too many."""


class EntryStoppingError(DockreachError):
    """The entry stops, and ends a connection or a request."""


class WireError(DockreachError):
    """A peer sent bytes that are not a valid batch of messages."""
