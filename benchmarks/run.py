"""Runs the benchmarks whose results are kept under docs/results."""

from __future__ import annotations

import subprocess
import sys

COMMANDS = (
    ("benchmarks.overhead", "--keep"),
    ("benchmarks.decisions", "--keep"),
)


def main() -> None:
    """Run each benchmark in a process of its own."""
    for command in COMMANDS:
        subprocess.run([sys.executable, "-m", *command], check=True)  # noqa: S603


if __name__ == "__main__":
    main()
