"""Fixtures of the tests of the direct path."""

from __future__ import annotations

import pytest

from dockreach.direct.connection_admission import ConnectionAdmission


@pytest.fixture(autouse=True)
def _admit_all(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let entries take each connection, except where that is what is tested.

    All entries of a test process share one event loop, whose load is not that of one entry.
    """
    if request.path.name != "test_connection_admission.py":
        monkeypatch.setattr(ConnectionAdmission, "admit", lambda _: True)
