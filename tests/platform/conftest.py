"""Fixtures of the tests with entry processes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from .test_take_ups import Site


@pytest.fixture(name="site")
def _site(tmp_path: Path) -> Iterator[Site]:
    """Return a platform; its entries end with the test."""
    site = Site(tmp_path)
    yield site
    for process in site.processes:
        process.kill()
        process.communicate()
