"""Copies of the repository in which one piece of a module's text is replaced."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
SKIPPED = (
    ".venv",
    ".git",
    ".mypy_cache",
    ".ruff_cache",
    ".hypothesis",
    "*.egg-info",
    "journal",
)


class Edit(NamedTuple):
    """What is switched off, and the text that does it.

    Attributes:
        module: Path below the package.
    """

    rule: str
    module: str
    before: str
    after: str


class EditError(Exception):
    """The text that an edit replaces is not in its module."""


def copy_with(edit: Edit | None, target: Path) -> None:
    """Copy the repository and make one edit.

    Raises:
        EditError: The text to be replaced is not there.
    """
    shutil.copytree(ROOT, target, ignore=shutil.ignore_patterns(*SKIPPED))
    if edit is None:
        return
    module = target / "dockreach" / edit.module
    text = module.read_text()
    if edit.before not in text:
        raise EditError(f"{edit.module}: the text of '{edit.rule}' is not there")
    module.write_text(text.replace(edit.before, edit.after, 1))
