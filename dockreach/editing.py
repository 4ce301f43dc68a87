"""Edits of declarations files that keep comments and never overwrite other changes.

Two operators may edit a file at the same time. Each edit passes the text that it was made
from; if the file has a different text by the time of writing, the edit is rejected.
"""

from __future__ import annotations

import difflib
import os
import re
from pathlib import Path

from .declarations import Declarations, parse
from .errors import RevisionError, SettingsError

_SECTION_HEADER = re.compile(r"^\[(?P<name>[^\]]+)\]\s*$")


def set_value(body: str, section: str, key: str, value: str) -> str:
    """Return a body with one key set in an existing section.

    Raises:
        SettingsError: The section does not exist.
    """
    lines = body.splitlines()
    start, end = _section_bounds(lines, section)
    for index in range(start + 1, end):
        name, equals, _ = lines[index].partition("=")
        if equals and name.strip() == key:
            lines[index] = f"{key} = {value}"
            break
    else:
        lines.insert(_insertion_index(lines, start, end), f"{key} = {value}")
    return "\n".join(lines) + "\n"


def add_section(body: str, section: str, values: dict[str, str]) -> str:
    """Return a body with a new section at its end.

    Raises:
        SettingsError: The section already exists.
    """
    if any(_section_name(line) == section for line in body.splitlines()):
        raise SettingsError("declarations", section, "", "is already declared")
    rows = "\n".join(f"{key} = {value}" for key, value in values.items())
    return f"{body.rstrip()}\n\n[{section}]\n{rows}\n"


def increment_revision(body: str, file: str) -> str:
    """Return a body with its revision increased by one.

    Raises:
        SettingsError: The body is invalid.
    """
    revision = parse(body, file).revision
    return set_value(body, "fleet", "revision", str(revision + 1))


def write(
    path: Path, original: str, changed: str, current_revision: int = 0
) -> Declarations:
    """Validate an edited body and replace the file atomically.

    Args:
        path: The declarations file.
        original: Text that the edit was made from.
        changed: Text to write.
        current_revision: Highest revision that the fleet has applied; 0 if unknown.

    Returns:
        The new declarations.

    Raises:
        SettingsError: The changed text is invalid; nothing is written.
        RevisionError: The file was changed meanwhile, another process is writing it, or the
            fleet has applied this revision or a later one; nothing is written.
    """
    declarations = parse(changed, path.name)
    if current_revision >= declarations.revision:
        problem = (
            f"the fleet has revision {current_revision}; this file is older: pull it first"
        )
        raise RevisionError(problem)
    lock = path.with_suffix(path.suffix + ".lock")
    try:
        lock_fd = os.open(lock, os.O_CREAT | os.O_EXCL)
    except FileExistsError as exc:
        raise RevisionError(f"{lock} exists: another process is writing the file") from exc
    try:
        if path.read_text() != original:
            raise RevisionError(f"{path} was changed meanwhile; nothing was written")
        new_file = path.with_suffix(path.suffix + ".new")
        new_file.write_text(changed)
        new_file.replace(path)
    finally:
        os.close(lock_fd)
        lock.unlink()
    return declarations


def unified_diff(before: str, after: str, name: str) -> str:
    """Return the unified diff of two bodies."""
    lines = difflib.unified_diff(
        before.splitlines(),
        after.splitlines(),
        f"{name} (before)",
        f"{name} (after)",
        lineterm="",
    )
    return "\n".join(lines)


def _section_name(line: str) -> str:
    match = _SECTION_HEADER.match(line)
    return match["name"] if match else ""


def _section_bounds(lines: list[str], section: str) -> tuple[int, int]:
    starts = [index for index, line in enumerate(lines) if _section_name(line)]
    for position, index in enumerate(starts):
        if _section_name(lines[index]) == section:
            end = starts[position + 1] if position + 1 < len(starts) else len(lines)
            return index, end
    raise SettingsError("declarations", section, "", "the section does not exist")


def _insertion_index(lines: list[str], start: int, end: int) -> int:
    last = start
    for index in range(start + 1, end):
        if "=" in lines[index] and not lines[index].lstrip().startswith(("#", ";")):
            last = index
    return last + 1
