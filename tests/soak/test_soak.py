"""A short seeded soak, and the seeds that ever showed a fault."""

from __future__ import annotations

from pathlib import Path

import pytest

from .run import soak

SHORT_S = 4.0


@pytest.mark.parametrize(
    "seed",
    [
        # A changed settings file ended an entry that was still loading (SIGHUP).
        1,
        # The same, before the interpreter ran a line of the program: not ours to mend, and
        # no longer sent by the soak.
        108067,
        # A second signal to stop ended an entry that was finishing what it took.
        108072,
        # Short seeded run.
        12,
    ],
)
def test_every_promise_is_kept_while_things_fail(tmp_path: Path, seed: int) -> None:
    result = soak(seed, SHORT_S, tmp_path)
    assert result.broken == [], "\n".join([*result.faults, *result.logs])
    assert result.served > 100
