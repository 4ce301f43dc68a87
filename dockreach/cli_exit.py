"""How the command-line tool ends when it cannot do what it was asked."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3


def fail(problem: str, code: int = EXIT_REFUSED) -> NoReturn:
    """Tell what is wrong on standard error, and end."""
    click.echo(f"dockreach: {problem}", err=True)
    sys.exit(code)
