"""Defragmentation: migration of checkpointable tasks to fit a waiting job."""

from persimmonyard.model import Adjacency
from persimmonyard.scheduler.books import Books
from persimmonyard.scheduler.decisions import Reason
from persimmonyard.scheduler.evacuation import claim_migration_target
from persimmonyard.scheduler.events import Job
from persimmonyard.scheduler.fleet import Node
from persimmonyard.scheduler.holds import Hold
from persimmonyard.scheduler.placement import search_nodes
from persimmonyard.scheduler.planner import PlacementPlan, PlacementPlanner
from persimmonyard.scheduler.vector import add, lowest, member_need, scale, times
from persimmonyard.scheduler.victim_selection import choose_victims, preemption_cost
from persimmonyard.scheduler.work import Kind, Task, stoppable

__all__ = ["MigrationPlanner"]

# With more migrations for one job, the planning costs more than the uncertain
# gain in waiting time is worth.
MAX_MIGRATIONS = 4

# The accelerator seconds gained must be at least this many times those lost,
# because the expected wait is only a prediction.
MIN_GAIN_TO_COST_RATIO = 2.0

# Seconds between two planning attempts for the same job.
RETRY_INTERVAL_S = 30.0

MOVED = Reason("moved", "on capacity from which a few tasks were moved away")
MOVED_AWAY = Reason("moved_away", "moved so that a waiting job fits")


class MigrationPlanner:
    """Plan migrations for a job that would otherwise wait for its hold."""

    def __init__(self, books: Books, planner: PlacementPlanner) -> None:
        self._books = books
        self._planner = planner
        # When migrations are next planned for the owner of a hold.  There is
        # at most one entry for each job that has a hold or had one recently.
        self._next_try_by_id: dict[str, float] = {}

    def forget(self, now: float) -> None:
        """Drop the retry times that have passed."""
        for request_id, retry_at in list(self._next_try_by_id.items()):
            if retry_at <= now:
                del self._next_try_by_id[request_id]

    def plan(self, job: Job, now: float) -> PlacementPlan | None:
        """Return a plan that migrates tasks away to make room for a job.

        The next attempt of each victim that is not ending already gets a
        claim on other upstreams.  Return ``None`` if there is no such plan or
        if the gain is too small for its cost.
        """
        hold = self._books.holds.hold_by_id.get(job.request_id)
        if hold is None or hold.at <= now:
            return None
        if now < self._next_try_by_id.get(job.request_id, now):
            return None
        self._next_try_by_id[job.request_id] = now + RETRY_INTERVAL_S
        need = member_need(job.shape)
        nodes = self._candidate_nodes(job, hold)
        members = search_nodes(nodes, job.shape, lambda node: self._room(job, node))
        if members is None:
            return None
        work = self._books.work
        victims = choose_victims(work, members, need, _migratable, now)
        if victims is None or not self._is_worthwhile(job, hold, victims, now):
            return None
        moved = [task for task in victims if not task.stopping]
        if not self._claim_migration_targets(moved, frozenset(members), now):
            return None
        kind = Kind.BORROWER if stoppable(job) else Kind.FIXED
        return PlacementPlan(members, kind, victims, MOVED)

    def _candidate_nodes(self, job: Job, hold: Hold) -> list[Node]:
        fleet = self._books.fleet
        nodes = fleet.nodes(hold.node_ids)
        if job.shape.adjacency == Adjacency.RACK:
            nodes = fleet.nodes(sorted(fleet.ids_by_rack[nodes[0].rack]))
        return nodes

    def _room(self, job: Job, node: Node) -> int:
        holder = self._books.holds.owner(node)
        if holder not in (None, job.request_id) or node.node_id in job.avoid:
            return 0
        if not self._books.fleet.sound(node):
            return 0
        total = node.free
        for task in self._books.work.tasks_on(node):
            if task.kind == Kind.BORROWER and not task.stopping and _migratable(task):
                held = scale(member_need(task.job.shape), task.members[node.node_id])
                total = add(total, held)
        if not stoppable(job):
            total = lowest(total, node.pinnable(job.client_account))
        return times(member_need(job.shape), total)

    def _is_worthwhile(
        self, job: Job, hold: Hold, victims: list[Task], now: float
    ) -> bool:
        if not victims or len(victims) > MAX_MIGRATIONS:
            return False
        accelerator_count = max(1, job.shape.accelerators) * job.shape.gang
        gain = (hold.at - now) * accelerator_count
        return gain > MIN_GAIN_TO_COST_RATIO * sum(
            preemption_cost(task, now) for task in victims
        )

    def _claim_migration_targets(
        self, victims: list[Task], excluded: frozenset[str], now: float
    ) -> bool:
        claimed: list[Task] = []
        for task in victims:
            if claim_migration_target(
                self._books, self._planner, task, MOVED_AWAY, now, excluded
            ):
                claimed.append(task)
                continue
            for other in claimed:
                self._books.work.drop_claim(other.job.request_id)
            return False
        return True


def _migratable(task: Task) -> bool:
    return task.job.checkpointable and not task.urgent
