"""A joint placement of all guaranteed blocks, which proves them feasible.

Every guaranteed block is placed on upstreams and adds to the guaranteed
capacity that its account has there.  On each upstream, the larger of an
account's guaranteed and pinned capacity, summed over accounts, stays within
the upstream's capacity.  So every account can use its whole guarantee once
borrowers have been preempted, without preempting any other task.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from persimmonyard.model import Shape
from persimmonyard.scheduler.fleet import CapacityView, Fleet, Node
from persimmonyard.scheduler.layout_search import (
    BlockDemand,
    SearchBudget,
    can_search,
    search_layout,
)
from persimmonyard.scheduler.placement import (
    MemberCapacity,
    MemberCounts,
    search_index,
    search_nodes,
)
from persimmonyard.scheduler.vector import (
    ZERO,
    Vector,
    add,
    covers,
    fit_count,
    member_need,
    scale,
    subtract,
)

__all__ = ["Block", "BlockKey", "GuaranteeLayout"]

# Limits on the steps of the exhaustive search, each of about 10 microseconds:
# to place one job, to place pending blocks in one call, and to check a
# proposed configuration while an operator waits for the result.
STEPS_TO_MAKE_ROOM = 1_000
STEPS_TO_PLACE_PENDING = 5_000
STEPS_TO_CHECK = 20_000

# Upstreams near an account's pinned tasks that are tried for a block.
MAX_NEARBY = 256

# Upstreams with an account's own borrowers that are tried for a block.
MAX_BORROWING = 64

# Blocks that are moved to make room for one job.
MAX_BLOCKS_MOVED = 8


class BlockKey(NamedTuple):
    """The account of a block and its index in the account's guarantee."""

    account: str
    block: int


@dataclass
class Block:
    """A guaranteed shape; ``members`` is ``None`` while it is unplaced."""

    key: BlockKey
    shape: Shape
    members: MemberCounts | None = None


@dataclass
class GuaranteeLayout:
    """Guaranteed blocks of all client accounts, placed on the fleet."""

    fleet: Fleet
    block_by_key: dict[BlockKey, Block] = field(default_factory=dict)
    # Keys of the blocks that wait for a placement; used as an ordered set.
    pending: dict[BlockKey, None] = field(default_factory=dict)
    at_risk: dict[BlockKey, None] = field(default_factory=dict)
    keys_by_node: dict[str, set[BlockKey]] = field(default_factory=dict)
    # Pairs of account and upstream for which the guaranteed or the pinned
    # capacity changed since the kinds of tasks were last updated.
    changed: list[tuple[str, str]] = field(default_factory=list)

    def set_guarantee(self, account: str, guarantee: tuple[Shape, ...]) -> None:
        """Replace an account's blocks; unchanged shapes are not moved."""
        kept: dict[Shape, list[MemberCounts]] = {}
        for key in self.keys_of(account):
            block = self.block_by_key.pop(key)
            self.pending.pop(key, None)
            self.at_risk.pop(key, None)
            if block.members is None:
                continue
            kept.setdefault(block.shape, []).append(block.members)
            self._unplace(block)
        for number, shape in enumerate(guarantee):
            block = Block(BlockKey(account, number), shape)
            self.block_by_key[block.key] = block
            if kept.get(shape):
                self._set_members(block, kept[shape].pop())
                continue
            self.pending[block.key] = None

    def keys_of(self, account: str) -> list[BlockKey]:
        """Return the keys of an account's blocks in order."""
        keys = []
        number = 0
        while BlockKey(account, number) in self.block_by_key:
            keys.append(BlockKey(account, number))
            number += 1
        return keys

    def drop_node(self, node_id: str) -> None:
        """Unplace every block that uses an upstream and make it pending."""
        for key in sorted(self.keys_by_node.get(node_id, ())):
            block = self.block_by_key[key]
            self._unplace(block)
            self.pending[key] = None

    def retry_at_risk(self) -> None:
        """Make the blocks at risk pending again."""
        for key in self.at_risk:
            self.pending[key] = None

    def place_pending(self, limit: int) -> None:
        """Try to place at most ``limit`` pending blocks, the largest first.

        Blocks that do not fit are added to ``at_risk``.
        """
        budget = SearchBudget(STEPS_TO_PLACE_PENDING)
        waiting = sorted(self.pending, key=self._placement_order)
        for key in waiting[:limit]:
            if key not in self.pending:
                continue
            del self.pending[key]
            block = self.block_by_key[key]
            if self.place(block) or self._place_by_search(block, budget):
                self.at_risk.pop(key, None)
                continue
            self.at_risk[key] = None

    def _place_by_search(self, block: Block, budget: SearchBudget) -> bool:
        """Place a block by rearranging the others; return whether all fit."""
        if not can_search(self.fleet):
            return False
        return self._rearrange([*self._placed_blocks(), block], budget)

    def _placed_blocks(self) -> list[Block]:
        return [
            block for block in self.block_by_key.values() if block.members is not None
        ]

    def _placement_order(self, key: BlockKey) -> tuple[int, int, BlockKey]:
        shape = self.block_by_key[key].shape
        return (-shape.gang * shape.accelerators, -shape.accelerators, key)

    def place(self, block: Block) -> bool:
        """Place one block without moving others; return whether it fits."""
        members = self._find_members(block.key.account, block.shape)
        if members is None:
            return False
        self._set_members(block, members)
        return True

    def _find_members(self, account: str, shape: Shape) -> MemberCounts | None:
        def member_capacity(node: Node) -> int:
            return _member_capacity(node, account, shape)

        ids = self.fleet.pinned_ids_by_account.get(account, set())
        members = self._find_on_used_nodes(account, shape, member_capacity)
        if members is not None:
            return members
        members = search_index(self.fleet, CapacityView.OPEN, shape, member_capacity)
        if members is not None or not ids:
            return members
        # Guaranteed capacity may overlap the account's own pinned tasks, but
        # the index of uncommitted capacity counts those as taken.
        nearby = set(ids)
        for zone, index in self.fleet.indexes(CapacityView.OPEN):
            for rack in sorted(
                {self.fleet.node_by_id[node_id].rack for node_id in ids}
            ):
                if rack[0] == zone and len(nearby) < MAX_NEARBY:
                    nearby.update(index.ids_in_rack(rack))
        nodes = [
            node
            for node in self.fleet.nodes(sorted(nearby))
            if self.fleet.accepts_guarantees(node)
        ]
        return search_nodes(nodes, shape, member_capacity)

    def _find_on_used_nodes(
        self, account: str, shape: Shape, member_capacity: MemberCapacity
    ) -> MemberCounts | None:
        """Search the upstreams with tasks of the account.

        Those where its pinned tasks exceed its guaranteed capacity come first.
        """
        need = member_need(shape)
        ids = set(self.fleet.pinned_ids_by_account.get(account, ()))
        uncovered = []
        for node in self.fleet.nodes(sorted(ids)):
            if self.fleet.accepts_guarantees(node) and fit_count(
                need, _uncovered(node, account)
            ):
                uncovered.append(node)
        members = search_nodes(uncovered, shape, member_capacity)
        if members is not None:
            return members
        borrowing = sorted(self.fleet.borrowing_by_account.get(account, ()))
        ids.update(borrowing[:MAX_BORROWING])
        nodes = [
            node
            for node in self.fleet.nodes(sorted(ids))
            if self.fleet.accepts_guarantees(node)
        ]
        return search_nodes(nodes, shape, member_capacity)

    def _set_members(self, block: Block, members: MemberCounts) -> None:
        block.members = members
        need = member_need(block.shape)
        for node_id, count in members.items():
            node = self.fleet.node_by_id[node_id]
            self.fleet.add_guaranteed(node, block.key.account, scale(need, count))
            self.keys_by_node.setdefault(node_id, set()).add(block.key)
            self.changed.append((block.key.account, node_id))

    def _unplace(self, block: Block) -> None:
        assert block.members is not None
        need = member_need(block.shape)
        for node_id, count in block.members.items():
            node = self.fleet.node_by_id[node_id]
            self.fleet.add_guaranteed(node, block.key.account, scale(need, -count))
            self.keys_by_node[node_id].discard(block.key)
            self.changed.append((block.key.account, node_id))
        block.members = None

    def _rearrange(self, blocks: list[Block], budget: SearchBudget) -> bool:
        """Place all blocks again by exhaustive search; return whether all fit.

        If they do not, the layout is unchanged.  The capacity of preemptible
        tasks inside their account's guarantee is kept for them if such a
        layout is found.  Otherwise these tasks may become borrowers.
        """
        blocks = sorted(blocks, key=lambda block: self._placement_order(block.key))
        demands = [BlockDemand(block.key, block.shape) for block in blocks]
        found = search_layout(self.fleet, demands, budget, keep_preemptible_pinned=True)
        if found is None:
            found = search_layout(self.fleet, demands, budget)
        if found is None:
            return False
        for block in blocks:
            if block.members is not None:
                self._unplace(block)
        for block, members in zip(blocks, found, strict=True):
            self._set_members(block, members)
        return True

    def make_room(self, account: str, need: Vector, members: MemberCounts) -> bool:
        """Move unused blocks so that a task can be pinned.

        The task takes ``need`` for each of ``members``.  Return whether the
        layout now leaves room for it; if not, the layout is unchanged.
        """
        nodes = self.fleet.nodes(members)
        for node in nodes:
            self.fleet.pin(node, account, scale(need, members[node.node_id]))
        fits = self._move_unused_blocks(nodes)
        if not fits and can_search(self.fleet):
            fits = self._rearrange(
                self._placed_blocks(), SearchBudget(STEPS_TO_MAKE_ROOM)
            )
        for node in nodes:
            self.fleet.pin(node, account, scale(need, -members[node.node_id]))
            self.fleet.refresh(node)
        return fits

    def _move_unused_blocks(self, nodes: list[Node]) -> bool:
        unplaced: list[tuple[Block, MemberCounts]] = []
        for node in nodes:
            for key in sorted(self.keys_by_node.get(node.node_id, ())):
                if covers(node.uncommitted(), ZERO):
                    break
                block = self.block_by_key[key]
                if block.members is None or self._in_use(block):
                    continue
                if len(unplaced) == MAX_BLOCKS_MOVED:
                    break
                unplaced.append((block, block.members))
                self._unplace(block)
        fits = all(covers(node.uncommitted(), ZERO) for node in nodes)
        placed = []
        for block, _ in unplaced:
            if not fits or not self.place(block):
                fits = False
                break
            placed.append(block)
        if fits:
            return True
        for block in placed:
            self._unplace(block)
        for block, old in unplaced:
            self._set_members(block, old)
        return False

    def move_block_to(self, account: str, node_ids: list[str]) -> None:
        """Move an unused block of an account to ``node_ids``, if it fits."""
        for key in self.keys_of(account):
            block = self.block_by_key[key]
            if block.members is None or self._in_use(block):
                continue
            if self._try_move_to(block, node_ids):
                return

    def _try_move_to(self, block: Block, node_ids: list[str]) -> bool:
        """Move a block to the given upstreams; return whether it fits there.

        If it does not, its placement is unchanged.
        """
        assert block.members is not None
        old = block.members
        self._unplace(block)

        def member_capacity(node: Node) -> int:
            return _member_capacity(node, block.key.account, block.shape)

        found = search_nodes(self.fleet.nodes(node_ids), block.shape, member_capacity)
        self._set_members(block, found or old)
        return found is not None

    def _in_use(self, block: Block) -> bool:
        assert block.members is not None
        for node in self.fleet.nodes(block.members):
            if block.key.account in node.pinned_by_account:
                return True
        return False

    def infeasible_blocks(
        self, guarantee_by_account: dict[str, tuple[Shape, ...]]
    ) -> list[Block]:
        """Return the new blocks that do not fit together with all others.

        The layout is not changed.
        """
        added = self._added_blocks(guarantee_by_account)
        if not added:
            return []
        unplaced = self._unplace_removed(guarantee_by_account)
        unplaceable = []
        placed = []
        for block in sorted(added, key=lambda block: -block.shape.gang):
            if self.place(block):
                placed.append(block)
                continue
            unplaceable.append(block)
        for block in placed:
            self._unplace(block)
        for block, members in unplaced:
            self._set_members(block, members)
        if unplaceable and self._fits_by_search(guarantee_by_account):
            return []
        return unplaceable

    def _added_blocks(
        self, guarantee_by_account: dict[str, tuple[Shape, ...]]
    ) -> list[Block]:
        added = []
        for account in sorted(guarantee_by_account):
            remaining = [self.block_by_key[key].shape for key in self.keys_of(account)]
            for number, shape in enumerate(guarantee_by_account[account]):
                if shape in remaining:
                    remaining.remove(shape)
                    continue
                added.append(Block(BlockKey(account, number), shape))
        return added

    def _unplace_removed(
        self, guarantee_by_account: dict[str, tuple[Shape, ...]]
    ) -> list[tuple[Block, MemberCounts]]:
        unplaced = []
        left_by_account = {
            name: list(shapes) for name, shapes in guarantee_by_account.items()
        }
        for key, block in self.block_by_key.items():
            left = left_by_account.get(key.account, [])
            if block.shape in left:
                left.remove(block.shape)
                continue
            if block.members is not None:
                unplaced.append((block, block.members))
                self._unplace(block)
        return unplaced

    def _fits_by_search(
        self, guarantee_by_account: dict[str, tuple[Shape, ...]]
    ) -> bool:
        if not can_search(self.fleet):
            return False
        demands = []
        for account in sorted(guarantee_by_account):
            for number, shape in enumerate(guarantee_by_account[account]):
                demands.append(BlockDemand(BlockKey(account, number), shape))
        demands.sort(
            key=lambda demand: (
                -demand.shape.gang * demand.shape.accelerators,
                demand.key,
            )
        )
        return (
            search_layout(self.fleet, demands, SearchBudget(STEPS_TO_CHECK)) is not None
        )


def _member_capacity(node: Node, account: str, shape: Shape) -> int:
    """Return how many more guaranteed members of ``shape`` fit on the node."""
    others = subtract(node.committed, node.committed_to(account))
    taken = add(others, node.guaranteed_by_account.get(account, ZERO))
    return fit_count(member_need(shape), subtract(node.capacity, taken))


def _uncovered(node: Node, account: str) -> Vector:
    """Return how much of the pinned capacity is not guaranteed.

    The result has at least one slot, so that no node is excluded only because
    of its slots.
    """
    pinned = node.pinned_by_account.get(account, ZERO)
    left = subtract(pinned, node.guaranteed_by_account.get(account, ZERO))
    return (left[0], left[1], left[2], max(1, left[3]))
