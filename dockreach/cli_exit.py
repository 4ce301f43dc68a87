"""Exit codes and error messages of the command-line tool."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

EXIT_REFUSED = 1
"""The command was refused or has no result."""

EXIT_UNREACHABLE = 3
"""The entry is unreachable."""


def exit_with_error(problem: str, code: int = EXIT_REFUSED) -> NoReturn:
    """Print a problem to standard error and exit with a code."""
    click.echo(f"dockreach: {problem}", err=True)
    sys.exit(code)
