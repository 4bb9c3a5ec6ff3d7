"""Peaks that are seen from the jobs that arrive."""

from __future__ import annotations

from chivetray.scheduling.arrivals import WINDOW_S, ArrivalMeter


def meter(jobs: int, core_s: float) -> ArrivalMeter:
    """Return a meter that saw jobs spread over the last window."""
    made = ArrivalMeter()
    for number in range(jobs):
        made.record(number * WINDOW_S / max(1, jobs), core_s)
    return made


class TestPeakThatRises:
    def test_many_jobs_show_nearly_the_cores_that_they_will_use(self) -> None:
        assert 0.75 * 200 < meter(25, 8.0).required_cores(WINDOW_S) <= 200

    def test_a_peak_that_has_just_begun_is_seen_at_once(self) -> None:
        """Within 0.4 s, a count over one second shows less than a third of the peak."""
        made = ArrivalMeter()
        for number in range(10):
            made.record(10.01 + number * 0.04, 8.0)
        assert made.required_cores(10.4) > 0.6 * 200

    def test_one_large_job_is_no_peak(self) -> None:
        assert meter(1, 64.0).required_cores(WINDOW_S) == 0.0

    def test_it_is_over_when_no_more_jobs_come(self) -> None:
        assert meter(25, 8.0).required_cores(2.5 * WINDOW_S) == 0.0
