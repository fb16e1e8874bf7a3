"""Tests of the order between client accounts that wait for capacity."""

import random
import unittest

import msgspec

from persimmonyard.jobs import (
    AccountSpec,
    EndRuns,
    JobStore,
    PutConfiguration,
    RunEnd,
    SubmitJob,
    TaskEnd,
)
from test.jobs.fixtures import WALL_MS, Cluster, configuration, job, step

# Jobs per second and account: 4 accounts at their usual load use 0.8 of the
# 16 jobs a second that 32 accelerators run.
USUAL_JOBS_S = 3.2
OVERLOAD = 7.5
WORK_MS = 2_000
TICK_MS = 50
SENDING_MS = 10_000
ACCOUNTS = ("heavy", "a", "b", "c")


def weighted(version, **weights):
    specs = [AccountSpec(name, weight=weight) for name, weight in weights.items()]
    return msgspec.structs.replace(configuration(version), accounts=tuple(specs))


class SharedCluster(Cluster):
    """A cluster with accounts that have weights."""

    def __init__(self, upstreams=4, **weights):
        super().__init__()
        self.job_count = 0
        self.store.execute(PutConfiguration(weighted(2, **weights)))
        for number in range(upstreams):
            self.add(f"u{number}")

    def send(self, account, at_ms=0, count=1, **fields):
        self.job_count += 1
        submitted = job(
            step(count),
            job_id=f"{self.job_count:016x}",
            account=account,
            submitted_ms=WALL_MS + at_ms,
            **fields,
        )
        self.store.execute(SubmitJob(submitted))
        return submitted.job_id

    def placed_jobs(self, after_ms=0):
        return [placement.key.job_id for placement in self.place(after_ms).placements]


class OrderTests(unittest.TestCase):
    def test_the_account_below_its_share_goes_first(self):
        """Guards against an account that keeps capacity by sending more."""
        cluster = SharedCluster(upstreams=1, heavy=9.0, a=9.0)
        cluster.send("heavy", count=7)
        cluster.placed_jobs()
        cluster.send("heavy", at_ms=10)
        later = cluster.send("a", at_ms=20)
        self.assertEqual([later], cluster.placed_jobs())

    def test_without_weights_the_order_is_unchanged(self):
        """Guards against another order in deployments without weights."""
        cluster = SharedCluster(upstreams=1, heavy=0.0, a=0.0)
        cluster.send("heavy", count=7)
        cluster.placed_jobs()
        earlier = cluster.send("heavy", at_ms=10)
        cluster.send("a", at_ms=20)
        self.assertEqual([earlier], cluster.placed_jobs())

    def test_shares_do_not_go_before_priority(self):
        """Guards against urgent work that waits for other accounts."""
        cluster = SharedCluster(upstreams=1, heavy=9.0, a=9.0)
        cluster.send("heavy", count=7)
        cluster.placed_jobs()
        cluster.send("a")
        urgent = cluster.send("heavy", route="urgent")
        self.assertEqual([urgent], cluster.placed_jobs())

    def test_jobs_beyond_the_rate_go_last(self):
        """Guards against entitlement for any number of jobs."""
        cluster = SharedCluster(upstreams=1, heavy=2.0, a=2.0)
        sent = [cluster.send("heavy", at_ms=number) for number in range(9)]
        others = [cluster.send("a", at_ms=50 + number) for number in range(2)]
        placed = cluster.placed_jobs(after_ms=60)
        self.assertEqual([*sent[:2], *others], placed[:4])
        self.assertEqual(sent[2:6], placed[4:])

    def test_a_new_leader_and_a_snapshot_keep_the_rate(self):
        """Guards against new entitlement with every failover."""
        cluster = SharedCluster(heavy=2.0)
        for number in range(3):
            cluster.send("heavy", at_ms=number)
        restored = JobStore()
        restored.restore(cluster.store.snapshot())
        cluster.store = restored
        late = [cluster.send("heavy", at_ms=at_ms) for at_ms in (4, 1_000)]
        beyond = [restored.job_by_id[job_id].beyond_rate for job_id in late]
        self.assertEqual([True, False], beyond)

    def test_state_is_kept_for_accounts_with_a_weight_only(self):
        """Guards against memory that grows with the names of accounts."""
        cluster = SharedCluster(heavy=2.0)
        cluster.send("heavy")
        cluster.send("unknown")
        rates = cluster.store._account_rates.rate_by_account
        self.assertEqual(["heavy"], list(rates))
        cluster.store.execute(PutConfiguration(weighted(3, other=1.0)))
        self.assertEqual({}, cluster.store._account_rates.rate_by_account)


class OverloadTests(unittest.TestCase):
    def replay(self, seed, weight, heavy_jobs_s):
        """Return how many jobs were late or did not end, by account."""
        generator = random.Random(seed)
        cluster = SharedCluster(**dict.fromkeys(ACCOUNTS, weight))
        arrivals = []
        for account in ACCOUNTS:
            jobs_s = heavy_jobs_s if account == "heavy" else USUAL_JOBS_S
            at_ms = 0.0
            while (at_ms := at_ms + generator.expovariate(jobs_s) * 1_000) < SENDING_MS:
                arrivals.append((at_ms, account))
        arrivals.sort(reverse=True)
        ends = {}
        for now_ms in range(0, 3 * SENDING_MS, TICK_MS):
            cluster.now = 10.0 + now_ms / 1_000
            for number in range(4):
                cluster.add(f"u{number}", sequence=2 + now_ms)
            while arrivals and arrivals[-1][0] <= now_ms:
                at_ms, account = arrivals.pop()
                cluster.send(account, int(at_ms))
            for run in [run for run, end_ms in ends.items() if end_ms <= now_ms]:
                key, number = run
                del ends[run]
                end = RunEnd(key, key.task, number, TaskEnd.DONE)
                cluster.store.execute(EndRuns((end,), WALL_MS + now_ms))
            for placement in cluster.place(now_ms).placements:
                ends[(placement.key, placement.run)] = now_ms + WORK_MS
        late = dict.fromkeys(ACCOUNTS, 0)
        for record in cluster.store.job_by_id.values():
            took_ms = record.ended_ms - record.job.submitted_ms
            # The objective of the class: 3 times the work and 1,000 ms.
            if not record.ended_ms or took_ms > 3 * WORK_MS + 1_000:
                late[record.job.account] += 1
        return late

    def test_one_account_at_many_times_its_load_makes_no_others_late(self):
        """Guards against an overload of one account that spreads to others."""
        for seed in range(2):
            with self.subTest(seed=seed):
                late = self.replay(seed, USUAL_JOBS_S, OVERLOAD * USUAL_JOBS_S)
                others = [late[account] for account in ACCOUNTS[1:]]
                self.assertEqual([0, 0, 0], others)
