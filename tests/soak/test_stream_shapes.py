"""The streams of small deployments have the lengths of their kind."""

from __future__ import annotations

import statistics

import pytest

from .stream_shapes import SHAPES, shape_of
from .worker_content import stream_length

STREAMS = 4000


@pytest.mark.parametrize("kind", sorted(SHAPES))
def test_streams_have_the_lengths_of_their_kind(kind: str) -> None:
    shape = SHAPES[kind]
    lengths = [stream_length(f"{kind}-{number}") for number in range(STREAMS)]
    assert min(lengths) == 1
    assert max(lengths) == shape.most_events
    # The longest are cut, which takes a part of the mean away.
    assert 0.6 * shape.mean_events < statistics.mean(lengths) <= shape.mean_events


def test_a_stream_of_another_kind_has_no_shape() -> None:
    assert shape_of("story-1") is None
    assert shape_of("summary-1") is SHAPES["summary"]
