"""Copies of the repository in which one passage of a module is replaced."""

from __future__ import annotations

import shutil
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
IGNORED_PATTERNS = (
    ".venv",
    ".git",
    ".mypy_cache",
    ".ruff_cache",
    ".hypothesis",
    "*.egg-info",
    "journal",
)


class Edit(NamedTuple):
    """A replacement of source text that disables one rule.

    Attributes:
        rule: Short description of the rule.
        module: Path of the module within the package.
    """

    rule: str
    module: str
    before: str
    after: str


class EditError(Exception):
    """The module doesn't contain the text that an edit replaces."""


def copy_repository(edit: Edit | None, target: Path) -> None:
    """Copy the repository and apply one edit, if given.

    Raises:
        EditError: The module doesn't contain the text to be replaced.
    """
    shutil.copytree(ROOT, target, ignore=shutil.ignore_patterns(*IGNORED_PATTERNS))
    if edit is None:
        return
    module = target / "dockreach" / edit.module
    text = module.read_text()
    if edit.before not in text:
        raise EditError(
            f"{edit.module}: the text to replace for '{edit.rule}' was not found"
        )
    module.write_text(text.replace(edit.before, edit.after, 1))
