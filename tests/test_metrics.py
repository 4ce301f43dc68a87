"""The metrics page shows current samples only and keeps histograms."""

from __future__ import annotations

from dockreach.metrics import Metrics, Sample


def evacuated_sample(hall: str, seconds: float) -> Sample:
    return Sample("hall_emptied_seconds", "", seconds, {"hall": hall}, is_counter=False)


def test_label_sets_without_a_sample_are_removed_from_the_page() -> None:
    """The metrics page must not show values that are no longer sampled.

    After the evacuation of a data hall was cancelled, the page still showed the hall as
    evacuated, with the last sampled value of 12 s, until the entry was restarted.
    """
    metrics = Metrics("entry-1")
    body, _ = metrics.render_page(
        [evacuated_sample("hall1", 10.0), evacuated_sample("hall2", 12.0)]
    )
    assert b'hall="hall1"' in body
    body, _ = metrics.render_page([evacuated_sample("hall2", 14.0)])
    assert b'hall="hall1"' not in body
    assert b'hall="hall2"' in body
    body, _ = metrics.render_page([])
    assert b"hall=" not in body


def test_histograms_keep_their_counts_between_pages() -> None:
    metrics = Metrics("entry-1")
    for _ in range(3):
        metrics.observe("answer_seconds", "", 0.5, {"route": "draft"})
    for _ in range(2):
        body, _ = metrics.render_page([])
        assert b'answer_seconds_count{daemon="entry-1",route="draft"} 3' in body
