"""Jobs through managers, workers and a store as separate processes."""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Iterator

import pytest
from job_fleet import WORKER_PORT, JobFleet, job_body, wait_for

from chivetray.cmdline import main


@pytest.fixture(scope="class")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[JobFleet]:
    fleet = JobFleet(tmp_path_factory.mktemp("jobs"))
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()


class TestJobs:
    def test_a_job_is_accepted_runs_and_is_shown_anywhere(self, fleet) -> None:
        assert fleet.call("m0", "POST", "00000000000000a1", job_body())[0] == 200
        for manager in fleet.managers:
            assert fleet.state(manager, "00000000000000a1") in ("queued", "running")
        for manager in fleet.managers:
            wait_for(
                lambda m=manager: fleet.state(m, "00000000000000a1") == "completed"
            )

    def test_the_same_job_twice_is_one_job(self, fleet) -> None:
        for manager in fleet.managers:
            status, _ = fleet.call(manager, "POST", "00000000000000a2", job_body())
            assert status == 200
        wait_for(lambda: fleet.state("m0", "00000000000000a2") == "completed")
        starts = [t for t in fleet.starts() if t.startswith("00000000000000a2")]
        assert len(starts) == 3

    def test_a_cancelled_job_is_shown_as_cancelled(self, fleet) -> None:
        fleet.call("m0", "POST", "00000000000000a3", job_body(work_s=30))
        assert fleet.call("m1", "DELETE", "00000000000000a3")[0] == 200
        for manager in fleet.managers:
            wait_for(
                lambda m=manager: fleet.state(m, "00000000000000a3") == "cancelled"
            )

    def test_an_unknown_job_is_gone_and_an_unknown_queue_not_found(self, fleet) -> None:
        assert fleet.call("m0", "GET", "00000000000000ff")[0] == 410
        assert fleet.call("m0", "DELETE", "00000000000000ff")[0] == 410

    @pytest.mark.parametrize(
        ("body", "fault"),
        [
            (b"{", "not JSON"),
            (b"[]", "not an object"),
            ({"TaskSpec": "x"}, "Steps"),
            ({"TaskSpec": "x" * 4001, "Steps": [{"Count": 1}]}, "4000 bytes"),
            ({"TaskSpec": 5, "Steps": [{"Count": 1}]}, "not a string"),
            ({"TaskSpec": "x", "Steps": [{"Count": 0}]}, "at least 1"),
            ({"TaskSpec": "x", "Steps": [{"Count": 10**9}]}, "more than"),
            (
                {"TaskSpec": "x", "Steps": [{"Count": 1, "DependsOn": [0]}]},
                "not an earlier",
            ),
            (
                {"TaskSpec": "x", "Steps": [{"Count": "3"}]},
                "not a non-negative number",
            ),
            (
                {"TaskSpec": "x", "Steps": [{"Count": 1, "Cpu": -1}]},
                "not a non-negative number",
            ),
        ],
    )
    def test_a_bad_submission_is_refused_and_not_stored(
        self, fleet, body, fault
    ) -> None:
        status, answer = fleet.call("m0", "POST", "00000000000000b1", body)
        assert (status, answer["Code"]) == (400, 120)
        assert fault in answer["Error"]
        assert fleet.call("m0", "GET", "00000000000000b1")[0] == 410

    def test_metrics_show_answers_decisions_latencies_and_ages(self, fleet) -> None:
        shown = "".join(fleet.metrics(name) for name in fleet.managers)
        for part in (
            'chivetray_job_answers_total{code="OK"}',
            'chivetray_events_total{event="CELL_TAKEN",outcome="False"}',
            'chivetray_manager_latency_seconds{of="acceptance",quantile="0.99"}',
            'chivetray_manager_latency_seconds{of="store transaction",quantile="0.5"}',
            'chivetray_manager_latency_seconds{of="start order",quantile="0.5"}',
            "chivetray_configuration_version",
            "chivetray_cell_confirmed_age_seconds",
        ):
            assert part in shown, part


class TestKilledOwner:
    def test_a_job_goes_on_and_no_task_runs_twice(self, fleet) -> None:
        fleet.call("m0", "POST", "00000000000000c1", job_body(count=6, work_s=1.5))
        wait_for(lambda: len(fleet.starts()) == 6)
        owner = fleet.owner()
        other = next(name for name in fleet.managers if name != owner)
        fleet.kill(owner)
        assert fleet.call(other, "POST", "00000000000000c2", job_body())[0] == 200
        for job_id in ("00000000000000c1", "00000000000000c2"):
            wait_for(lambda j=job_id: fleet.state(other, j) == "completed")
        assert set(Counter(fleet.starts()).values()) == {1}
        fleet.start_manager(owner)
        wait_for(lambda: fleet.state(owner, "00000000000000c1") == "completed")

    def test_the_story_of_the_job_names_the_change_of_its_owner(
        self, fleet, capsys
    ) -> None:
        """The second way of docs/OPERATIONS.md."""
        job_id = "00000000000000c3"
        before = len(fleet.starts())
        fleet.call("m0", "POST", job_id, job_body(count=4, work_s=1.5))
        wait_for(lambda: len(fleet.starts()) == before + 4)
        owner = fleet.owner()
        other = next(name for name in fleet.managers if name != owner)
        fleet.kill(owner)
        wait_for(lambda: fleet.state(other, job_id) == "completed")
        logs = [str(fleet.folder / f"{name}.log") for name in fleet.managers]
        wait_for(lambda: _kinds(job_id, logs, capsys))
        assert main(["trace", job_id, *logs]) == 0
        lines = capsys.readouterr().out.splitlines()
        (taken,) = [line for line in lines if " CELL_TAKEN " in line]
        assert "released=False" in taken
        order = [line.split()[2] for line in lines]
        assert order.index("TASK_PLACED") < order.index("CELL_TAKEN")
        assert order.index("CELL_TAKEN") < order.index("JOB_ENDED")


class TestTrace:
    def test_the_story_of_a_job_names_its_owners_and_tasks(self, fleet, capsys) -> None:
        fleet.call("m0", "POST", "00000000000000f1", job_body())
        wait_for(lambda: fleet.state("m0", "00000000000000f1") == "completed")
        logs = [str(fleet.folder / f"{name}.log") for name in fleet.managers]
        kinds = wait_for(lambda: _kinds("00000000000000f1", logs, capsys))
        assert kinds[0] == "JOB_ACCEPTED"
        assert "TASK_PLACED" in kinds

    def test_a_refused_job_tells_why(self, fleet, capsys) -> None:
        fleet.call("m0", "POST", "00000000000000f2", b"{")
        logs = [str(fleet.folder / "m0.log")]
        wait_for(lambda: "JOB_REFUSED" in str(fleet.log("m0")))
        assert main(["trace", "00000000000000f2", *logs]) == 0
        assert "not JSON" in capsys.readouterr().out

    def test_a_job_that_failed_on_bad_workers_names_each_attempt(
        self, fleet, capsys
    ) -> None:
        """The third way of docs/OPERATIONS.md."""
        addresses = [
            f"{fleet.worker_address(name)}:{WORKER_PORT}" for name in fleet.workers
        ]
        for address in addresses:
            fleet.post(address, "/standin/faults", {"failing": True})
        fleet.call("m0", "POST", "00000000000000f3", job_body(count=1, work_s=0.1))
        wait_for(lambda: fleet.state("m0", "00000000000000f3") == "failed")
        for address in addresses:
            fleet.post(address, "/standin/faults", {})
        logs = [str(fleet.folder / f"{name}.log") for name in fleet.managers]
        wait_for(lambda: _kinds("00000000000000f3", logs, capsys))
        assert main(["trace", "00000000000000f3", *logs]) == 0
        lines = capsys.readouterr().out.splitlines()
        ended = [line for line in lines if " TASK_ENDED_EARLY " in line]
        assert all("how=failed" in line and "worker=w" in line for line in ended)
        (last,) = [line for line in lines if " JOB_ENDED " in line]
        assert f"failures={len(ended)}" in last


def _kinds(job_id, logs, capsys):
    if main(["trace", job_id, *logs]) != 0:
        return []
    kinds = [line.split()[2] for line in capsys.readouterr().out.splitlines()]
    return kinds if "JOB_ENDED" in kinds else []


class TestLeavingOwner:
    def test_a_cell_is_handed_over_and_open_requests_are_answered(self, fleet) -> None:
        fleet.call("m0", "POST", "00000000000000d1", job_body(count=4, work_s=1.0))
        wait_for(lambda: len(fleet.starts()) == 4)
        owner = fleet.owner()
        other = next(name for name in fleet.managers if name != owner)
        fleet.processes[owner].send_signal(signal.SIGTERM)
        assert fleet.call(owner, "POST", "00000000000000d2", job_body())[0] == 200
        assert fleet.processes[owner].wait(timeout=10) == 0
        for job_id in ("00000000000000d1", "00000000000000d2"):
            wait_for(lambda j=job_id: fleet.state(other, j) == "completed")
        assert set(Counter(fleet.starts()).values()) == {1}


class TestSettings:
    def test_a_changed_file_is_followed_without_a_signal(self, fleet) -> None:
        # One that has not read its file yet would start with the changed one.
        wait_for(lambda: fleet.pending("m0") is not None)
        path = fleet.folder / "m0.yaml"
        path.write_text(path.read_text().replace("grace_s: 3", "grace_s: 2"))
        reloaded = wait_for(lambda: _reloads(fleet))
        assert reloaded[-1]["changed"] == ["grace_s"]

    def test_a_file_with_faults_changes_nothing(self, fleet) -> None:
        path = fleet.folder / "m0.yaml"
        good = path.read_text()
        path.write_text("name: 5\nzone: z1\n")
        fleet.processes["m0"].send_signal(signal.SIGHUP)
        wait_for(lambda: any("fault" in event for event in _reloads(fleet)))
        path.write_text(good)
        assert fleet.pending("m0") is not None


def _reloads(fleet):
    return [e for e in fleet.log("m0") if e["message_type"] == "SETTINGS_RELOADED"]


class TestStoreThatIsAway:
    def test_a_job_that_was_not_stored_is_refused_and_never_runs(self, fleet) -> None:
        fleet.post(fleet.store, "/standin/faults", {"down": True})
        status, answer = fleet.call("m0", "POST", "00000000000000e1", job_body())
        assert status == 503 and answer["Code"] == 122
        assert fleet.call("m0", "GET", "00000000000000e1")[0] == 503
        fleet.post(fleet.store, "/standin/faults", {})
        wait_for(lambda: fleet.call("m0", "GET", "00000000000000e1")[0] == 410)

    def test_a_lost_answer_is_asked_again_and_the_job_is_one(self, fleet) -> None:
        fleet.post(fleet.store, "/standin/faults", {"lose_answers": 1})
        status, _ = fleet.call("m0", "POST", "00000000000000e3", job_body())
        assert status in (200, 504)
        wait_for(lambda: fleet.state("m0", "00000000000000e3") == "completed")
        starts = [t for t in fleet.starts() if t.startswith("00000000000000e3")]
        assert len(starts) == 3
