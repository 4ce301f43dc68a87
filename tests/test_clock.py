"""Daemons use a single clock, which includes time spent suspended."""

from __future__ import annotations

import ast
import time
from pathlib import Path

from dockreach import clock

ROOT = Path(__file__).parent.parent
EXEMPT_FILES = {"standin_platform.py", "standin_engine.py", "launching.py", "load.py"}
"""Stand-ins and measuring tools, which are not part of a daemon."""


class _DocCommentRemover(ast.NodeTransformer):
    def visit_Expr(self, node: ast.Expr) -> ast.Expr | None:
        is_text = isinstance(node.value, ast.Constant) and isinstance(node.value.value, str)
        return None if is_text else node


def code_of(path: Path) -> str:
    """Return a module's code without its comments and doc comments."""
    tree = _DocCommentRemover().visit(ast.parse(path.read_text()))
    return ast.unparse(tree)


def test_clock_is_the_time_since_boot() -> None:
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= clock.now() <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_daemon_code_does_not_use_the_monotonic_clock() -> None:
    paths = [*(ROOT / "dockreach").rglob("*.py"), *(ROOT / "platform").rglob("*.py")]
    daemons = [path for path in paths if path.name not in EXEMPT_FILES | {"clock.py"}]
    assert [path.name for path in daemons if "monotonic" in code_of(path)] == []
