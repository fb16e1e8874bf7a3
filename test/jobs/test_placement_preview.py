"""Tests of previews: where a job would be placed without submitting it."""

import unittest
from unittest import mock

import msgspec

from persimmonyard.jobs import (
    PlanInputs,
    Planner,
    PutConfiguration,
    RunProgress,
    RunTimeEstimator,
    SetZone,
    StoreWithJob,
    preview_placement,
)
from persimmonyard.model import Resources
from test.jobs.fixtures import WALL_MS, Cluster, configuration, job, step


class PreviewCluster(Cluster):
    """A cluster that previews jobs."""

    def preview(self, *steps, **fields):
        """Return the preview of a job, with the identifier of no other."""
        previewed = job(*steps, job_id="preview", **fields)
        view = StoreWithJob(self.store, previewed)
        planner = Planner(view, self.fleet, RunTimeEstimator())
        inputs = PlanInputs(self.now, WALL_MS, dict(self.runs), True)
        return preview_placement(planner, view, self.fleet, inputs)

    def reasons(self, *steps, **fields):
        """Return why the units of a job would wait."""
        preview = self.preview(*steps, **fields)
        return [unit["waits"] for unit in preview["units"]]


class PlacementPreviewTests(unittest.TestCase):
    def setUp(self):
        # On a busy machine a plan may end at its limit of time.
        limit = mock.patch("persimmonyard.jobs.planner._MAX_PLAN_S", float("inf"))
        limit.start()
        self.addCleanup(limit.stop)
        self.cluster = PreviewCluster()
        for name in ("u1", "u2"):
            self.cluster.add(name)

    def test_preview_is_the_placement_that_follows(self):
        """Guards against an answer that is not that of the planner.

        Another job waits as well and is placed before or after, by its order.
        """
        self.cluster.submit(step(3), job_id="b" * 16, route="batch")
        steps = (step(2, per_upstream=1), step(2, gang=True, gpu=4))
        preview = self.cluster.preview(*steps)
        self.cluster.submit(*steps)
        seats_by_unit = {}
        for placement in self.cluster.place().placements:
            if placement.key.job_id != "b" * 16:
                seats_by_unit[placement.key.log_label()] = [
                    (seat.task, seat.upstream_id) for seat in placement.seats
                ]
        for unit in preview["units"]:
            seats = [(seat["task"], seat["upstream"]) for seat in unit["seats"]]
            self.assertEqual(seats_by_unit[unit["unit"]], seats)
        self.assertEqual(3, preview["placed"])

    def test_preview_changes_nothing(self):
        """Guards against a preview that the next plan or a snapshot sees."""
        self.cluster.submit(step(20), job_id="b" * 16, route="batch")
        before = self.cluster.store.snapshot()
        self.cluster.preview(step(40), route="urgent")
        self.assertEqual(before, self.cluster.store.snapshot())
        self.assertEqual(1, len(self.cluster.store.job_by_id))
        self.assertEqual(16, len(self.cluster.plan().placements))
        with self.assertRaises(TypeError):
            StoreWithJob(self.cluster.store, job(step())).execute(SetZone("z1", True))

    def test_reasons_for_which_units_wait(self):
        """Guards against a unit that waits without a reason."""
        self.assertEqual(["never_fits"], self.cluster.reasons(step(gpu=9)))
        self.assertEqual(["never_fits"], self.cluster.reasons(step(label="none")))
        self.assertEqual(
            ["", "dependency"], self.cluster.reasons(step(), step(depends_on=(0,)))
        )
        self.assertEqual(
            ["", "not_due"],
            self.cluster.reasons(
                step(), start_at_ms=WALL_MS, interval_ms=60_000, repeat_count=2
            ),
        )
        limited = configuration(2)
        accounts = tuple(
            msgspec.structs.replace(account, limit=Resources(1, 0, 0))
            for account in limited.accounts
        )
        limited = msgspec.structs.replace(limited, accounts=accounts)
        self.cluster.store.execute(PutConfiguration(limited))
        self.assertEqual(["", "account_limit"], self.cluster.reasons(step(2)))

    def test_unit_that_waits_for_room_or_its_rack(self):
        """Guards against a full fleet that looks like a wait for a rack."""
        self.cluster.add("u3", rack="r2")
        self.cluster.submit(step(16, rack="r1"), job_id="b" * 16)
        self.cluster.place()
        preview = self.cluster.preview(step(rack="r1"))
        self.assertEqual("rack", preview["units"][0]["waits"])
        self.assertEqual(
            {"no_accelerators": 2, "less_suitable": 1},
            preview["steps"][0]["rejected_by_reason"],
        )
        self.assertEqual(["", "no_room"], self.cluster.reasons(step(), step(gpu=8)))

    def test_runs_that_would_be_stopped_are_counted(self):
        """Guards against a preview that hides what the job costs others."""
        self.cluster.submit(step(2, gpu=8, estimate_ms=9_000), route="batch")
        for placement in self.cluster.place().placements:
            run_key = (placement.key, placement.run)
            self.cluster.runs[run_key] = RunProgress(False, 0.1, 0.1, 8.0)
        preview = self.cluster.preview(step(gpu=8), route="urgent")
        self.assertEqual("stops_runs", preview["units"][0]["waits"])
        self.assertEqual(1, preview["units"][0]["stops"])

    def test_answer_is_bounded(self):
        """Guards against an answer that grows with the job and the fleet."""
        for number in range(40):
            self.cluster.add(f"v{number}")
        preview = self.cluster.preview(*[step(500, gpu=8) for _ in range(20)])
        self.assertEqual(10_000, preview["placed"] + preview["waiting"])
        self.assertEqual(9_800, preview["units_omitted"])
        self.assertLess(len(msgspec.json.encode(preview)), 65_536)


if __name__ == "__main__":
    unittest.main()
