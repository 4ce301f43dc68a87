"""Back-offs after any number of failures in a row."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dockreach.backoff import backoff_after


def test_a_back_off_doubles_up_to_its_maximum() -> None:
    found = [backoff_after(count, first=0.5, longest=3.0) for count in range(5)]
    assert found == [0.5, 1.0, 2.0, 3.0, 3.0]


@given(st.integers(0, 10**6), st.floats(1e-6, 1e3), st.floats(1e-6, 1e3))
def test_it_never_falls_and_never_passes_its_maximum(
    failures: int, first: float, longest: float
) -> None:
    before = backoff_after(failures, first=first, longest=longest)
    assert before <= backoff_after(failures + 1, first=first, longest=longest) <= longest


@pytest.mark.parametrize("failures", [1023, 1024, 1025, 10**9])
def test_it_stays_at_its_maximum_however_many_failures_there_were(failures: int) -> None:
    assert backoff_after(failures, first=0.1, longest=0.6) == 0.6
