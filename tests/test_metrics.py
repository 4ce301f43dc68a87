"""The metrics page."""

from __future__ import annotations

from dockreach.metrics import Metrics, Sample


def hall_emptied(hall: str, seconds: float) -> Sample:
    return Sample("hall_emptied_seconds", "", seconds, {"hall": hall}, counter=False)


def test_what_is_no_longer_so_leaves_the_page() -> None:
    """A data hall stood on the metrics page as emptied for as long as the entry ran.

    Its order had been withdrawn, and the value stayed at that of the last page on which it
    was empty: 12 s, page after page. Only what is sampled for a page may stand on it.
    """
    metrics = Metrics("entry-1")
    body, _ = metrics.page([hall_emptied("hall1", 10.0), hall_emptied("hall2", 12.0)])
    assert b'hall="hall1"' in body
    body, _ = metrics.page([hall_emptied("hall2", 14.0)])
    assert b'hall="hall1"' not in body
    assert b'hall="hall2"' in body
    body, _ = metrics.page([])
    assert b"hall=" not in body


def test_histograms_are_kept_from_page_to_page() -> None:
    metrics = Metrics("entry-1")
    for _ in range(3):
        metrics.observe("answer_seconds", "", 0.5, {"route": "draft"})
    for _ in range(2):
        body, _ = metrics.page([])
        assert b'answer_seconds_count{daemon="entry-1",route="draft"} 3' in body
