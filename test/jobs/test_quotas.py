"""Tests of the limits of client accounts, in the store and the planner."""

import random
import unittest

import msgspec

from persimmonyard.jobs import (
    AccountSpec,
    CancelJob,
    JobStore,
    Placement,
    PlaceRuns,
    Planner,
    PutConfiguration,
    RunProgress,
    RunTimeEstimator,
    TaskEnd,
    configuration_problem,
)
from persimmonyard.model import Resources
from test.jobs.fixtures import WALL_MS, Cluster, configuration, step

NONE = Resources(0, 0, 0)


def accounts(version, **limits):
    """Return a configuration with limits in accelerators by account."""
    specs = []
    for name, limit in limits.items():
        specs.append(AccountSpec(name, (f"key-{name}",), 0, Resources(limit, 0, 0)))
    return msgspec.structs.replace(configuration(version), accounts=tuple(specs))


def counted_from_scratch(store):
    """Return what each account has running, from all units of the store."""
    used_by_account = {}
    for record in store.job_by_id.values():
        account = record.job.account
        for key, unit in record.units.items():
            for seat_record in unit.seats:
                if seat_record.end is None:
                    used = used_by_account.get(account, NONE)
                    used = used.plus(record.step_of(key).needs)
                    used_by_account[account] = used
    return used_by_account


class QuotaCluster(Cluster):
    """A cluster with limits in accelerators by account."""

    def __init__(self, upstreams=4, **limits):
        super().__init__()
        self.configure(2, **limits)
        for number in range(upstreams):
            self.add(f"u{number}")

    def configure(self, version, **limits):
        self.store.execute(PutConfiguration(accounts(version, **limits)))

    def used(self, account):
        return self.store.account_usage.used(account).accelerators

    def fail_over(self):
        """Replace the store and the planner as a new leader does."""
        store = JobStore()
        store.restore(self.store.snapshot())
        self.store = store
        self.planner = Planner(store, self.fleet, RunTimeEstimator())


class LimitTests(unittest.TestCase):
    def test_a_start_does_not_exceed_the_limit(self):
        """Guards against an account that runs more than its limit."""
        cluster = QuotaCluster(clinic=5)
        cluster.submit(step(count=9))
        self.assertEqual(5, len(cluster.place().placements))
        self.assertEqual([], cluster.place().placements)
        self.assertEqual(5, cluster.used("clinic"))

    def test_cores_that_are_not_charged_count(self):
        """Guards against tasks that fill an upstream and pass the limit."""
        cluster = QuotaCluster()
        limit = Resources(0, 2_500, 0)
        put = msgspec.structs.replace(
            configuration(3), accounts=(AccountSpec("clinic", (), 0, limit),)
        )
        cluster.store.execute(PutConfiguration(put))
        cluster.submit(step(count=4, fills=True))
        self.assertEqual(2, len(cluster.place().placements))

    def test_a_limit_lowered_during_a_burst_holds_at_once(self):
        """Guards against a plan that is committed after a lower limit."""
        cluster = QuotaCluster(clinic=12)
        cluster.submit(step(count=20))
        cluster.place()
        record = next(iter(cluster.store.job_by_id.values()))
        ended = list(record.units.items())[:4]
        for key, unit in ended:
            cluster.end_run(key, unit, TaskEnd.DONE)
        plan = cluster.plan()
        self.assertEqual(4, len(plan.placements))
        cluster.configure(3, clinic=9)
        cluster.store.execute(PlaceRuns(tuple(plan.placements), WALL_MS))
        self.assertEqual(9, cluster.used("clinic"))
        cluster.configure(4, clinic=3)
        self.assertEqual([], cluster.place().placements)
        self.assertEqual(9, cluster.used("clinic"))

    def test_a_run_that_is_being_stopped_counts(self):
        """Guards against a start beside runs that may not have ended."""
        cluster = QuotaCluster(clinic=2)
        submitted = cluster.submit(step(count=2), job_id="00000000000000a1")
        cluster.place()
        cluster.submit(step(), job_id="00000000000000a2")
        cluster.store.execute(CancelJob(submitted.job_id, WALL_MS))
        self.assertEqual([], cluster.place().placements)
        units = cluster.store.job_by_id[submitted.job_id].units
        key, unit = next(iter(units.items()))
        cluster.end_run(key, unit, TaskEnd.STOPPED)
        self.assertEqual(1, len(cluster.place().placements))

    def test_a_new_leader_knows_the_use(self):
        """Guards against starts above the limit after a failover."""
        cluster = QuotaCluster(clinic=6)
        cluster.submit(step(count=4), job_id="00000000000000a1")
        cluster.place()
        cluster.submit(step(count=4), job_id="00000000000000a2")
        cluster.fail_over()
        self.assertEqual(2, len(cluster.place().placements))
        self.assertEqual(6, cluster.used("clinic"))

    def test_a_gang_above_the_limit_does_not_hold_up_others(self):
        """Guards against a unit that can never start and blocks its shape."""
        cluster = QuotaCluster(upstreams=1, clinic=4, other=8)
        for number in range(3):
            gang_id = f"00000000000000a{number}"
            cluster.submit(step(count=6, gang=True), job_id=gang_id, route="urgent")
        plan = cluster.place(after_ms=2_000)
        self.assertEqual(([], []), (plan.placements, plan.preemptions))
        cluster.submit(
            step(count=6, gang=True), job_id="00000000000000b0", account="other"
        )
        cluster.submit(step(count=2), job_id="00000000000000b1")
        placed = {p.key.job_id for p in cluster.place(after_ms=2_000).placements}
        self.assertEqual({"00000000000000b0", "00000000000000b1"}, placed)

    def test_a_unit_over_the_limit_does_not_hold_up_its_shape(self):
        """Guards against equal tasks of another account that are skipped."""
        cluster = QuotaCluster(upstreams=1, clinic=1, other=8)
        cluster.submit(step(count=5), job_id="00000000000000a1", route="urgent")
        cluster.submit(step(count=5), job_id="00000000000000b1", account="other")
        self.assertEqual(6, len(cluster.place().placements))

    def test_no_run_is_stopped_for_units_over_the_limit(self):
        """Guards against more stops than the limit lets units start after."""
        cluster = QuotaCluster(upstreams=1, clinic=2, other=0)
        batch = cluster.submit(
            step(count=8), job_id="00000000000000b1", account="other", route="batch"
        )
        cluster.place()
        for key, unit in cluster.store.job_by_id[batch.job_id].units.items():
            cluster.runs[(key, unit.run)] = RunProgress(False, 0.1, 0.1, 50.0)
        cluster.submit(step(count=5), job_id="00000000000000a1", route="urgent")
        plan = cluster.plan(after_ms=900)
        self.assertEqual(2, len(plan.preemptions))

    def test_guaranteed_work_is_bound_as_well(self):
        """Guards against a guarantee that passes the limit of its account."""
        cluster = QuotaCluster()
        spec = AccountSpec("clinic", ("k",), 8, Resources(3, 0, 0))
        put = msgspec.structs.replace(configuration(3), accounts=(spec,))
        cluster.store.execute(PutConfiguration(put))
        cluster.submit(step(count=8), route="urgent")
        self.assertEqual(3, len(cluster.place(after_ms=2_000).placements))

    def test_guaranteed_work_at_the_limit_stops_work_of_its_account(self):
        """Guards against a guarantee that is not given back in time.

        The account itself has used up its limit with work that can wait.
        """
        cluster = QuotaCluster(upstreams=3)
        spec = AccountSpec("clinic", ("key-1",), 8, Resources(16, 0, 0))
        cluster.store.execute(
            PutConfiguration(
                msgspec.structs.replace(configuration(3), accounts=(spec,))
            )
        )
        cluster.submit(step(16, gpu=1), route="batch", job_id="b" * 16)
        for placement in cluster.place().placements:
            key, unit = placement.key, cluster.store.job_by_id["b" * 16].units
            cluster.runs[(key, unit[key].run)] = RunProgress(False, 0.5, 0.5, 60.0)
        cluster.submit(step(8, gpu=1, gang=True), route="urgent", job_id="c" * 16)
        plan = cluster.place()
        self.assertEqual([], plan.placements)
        self.assertEqual(8, len(plan.preemptions))
        for key, run, _ in plan.preemptions:
            cluster.end_run(key, cluster.store.job_by_id["b" * 16].units[key])
            del cluster.runs[(key, run)]
        placed = cluster.place().placements
        self.assertEqual(["c" * 16], [placement.key.job_id for placement in placed])


class CountTests(unittest.TestCase):
    def check(self, cluster):
        usage = cluster.store.account_usage
        expected = counted_from_scratch(cluster.store)
        self.assertEqual(set(expected), set(usage.names_in_use()))
        for account, used in expected.items():
            self.assertEqual(used, usage.used(account))

    def run_fuzz(self, seed):
        generator = random.Random(seed)
        cluster = QuotaCluster(upstreams=3, clinic=9, other=5, third=0)
        version = 2
        for number in range(150):
            before = dict(counted_from_scratch(cluster.store))
            action = generator.randrange(8)
            units = [
                (key, unit)
                for record in cluster.store.job_by_id.values()
                for key, unit in record.units.items()
            ]
            if action <= 1:
                count = generator.randint(1, 4)
                cluster.submit(
                    step(count, generator.randint(0, 3), gang=generator.random() < 0.4),
                    job_id=f"{number:016x}",
                    account=generator.choice(("clinic", "other", "third", "gone", "")),
                    route=generator.choice(("urgent", "normal", "batch")),
                )
            elif action <= 3:
                late = cluster.plan(generator.choice((0, 2_000)))
                if generator.random() < 0.3:
                    version += 1
                    cluster.configure(version, clinic=generator.randint(1, 9), other=5)
                cluster.store.execute(PlaceRuns(tuple(late.placements), WALL_MS))
                # A late repetition of the command changes nothing.
                cluster.store.execute(PlaceRuns(tuple(late.placements), WALL_MS))
                self.check_limits(cluster, before)
            elif action == 4 and units:
                key, _ = generator.choice(units)
                cluster.store.execute(CancelJob(key.job_id, WALL_MS))
            elif action <= 6:
                for key, unit in units:
                    if unit.seats and generator.random() < 0.3:
                        end = generator.choice(
                            (
                                TaskEnd.DONE,
                                TaskEnd.LOST,
                                TaskEnd.STOPPED,
                                TaskEnd.FAILED,
                            )
                        )
                        cluster.end_run(key, unit, end)
            elif generator.random() < 0.5:
                cluster.fail_over()
            else:
                # A replica gets a snapshot although it has a state.
                cluster.store.restore(cluster.store.snapshot())
            self.check(cluster)

    def check_limits(self, cluster, before):
        """Check that no account went above its limit by a placement."""
        for account, used in counted_from_scratch(cluster.store).items():
            limit = cluster.store.account_usage.spec(account).limit.accelerators
            if limit and used != before.get(account, NONE):
                self.assertLessEqual(used.accelerators, limit)

    def test_the_incremental_count_equals_one_from_scratch(self):
        """Guards against a count that drifts from what is running."""
        for seed in range(12):
            with self.subTest(seed=seed):
                self.run_fuzz(seed)

    def test_gang_members_that_have_ended_do_not_count(self):
        """Guards against a gang that counts whole until its last end."""
        cluster = QuotaCluster(clinic=4)
        cluster.submit(step(count=4, gang=True))
        placement: Placement = cluster.place().placements[0]
        record = cluster.store.job_by_id[placement.key.job_id]
        unit = record.units[placement.key]
        unit.seats, others = unit.seats[:1], unit.seats[1:]
        cluster.end_run(placement.key, unit, TaskEnd.STOPPED)
        self.assertEqual(3, cluster.used("clinic"))
        self.assertEqual(3, len(others))


class ConfigurationTests(unittest.TestCase):
    def test_ambiguous_or_odd_accounts_are_refused(self):
        """Guards against a limit that depends on the order of the entries."""
        cases = (
            ((AccountSpec("a", limit=Resources(1, 0, 0)), AccountSpec("a")), "two"),
            ((AccountSpec("a", weight=1.0), AccountSpec("a", weight=2.0)), "two"),
            ((AccountSpec("a", limit=Resources(0, -1, 0)),), "negative"),
            ((AccountSpec("a", weight=float("nan")),), "weight"),
            ((AccountSpec("a", weight=-1.0),), "weight"),
            ((AccountSpec("a", ("k",)), AccountSpec("a", ("l",))), ""),
        )
        for specs, problem in cases:
            put = msgspec.structs.replace(configuration(2), accounts=specs)
            self.assertIn(problem, configuration_problem(put))
        self.assertEqual("", configuration_problem(put))
