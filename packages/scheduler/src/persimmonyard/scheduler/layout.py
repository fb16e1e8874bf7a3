"""The joint layout of all guaranteed blocks, witness of the guarantees.

Every guaranteed block is laid on upstreams as cells.  On each upstream the
larger of an account's cells and its pinned work, summed over accounts, stays
within the capacity.  So every account can take its cells by stopping only
borrowers.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from persimmonyard.model import Shape
from persimmonyard.scheduler.fleet import CapacityView, Fleet, Node
from persimmonyard.scheduler.layout_search import (
    Budget,
    Demand,
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

# Steps of the exhaustive search, of about 10 microseconds each, when one job
# or one block needs it, and when an operator waits for the answer.
STEPS_TO_MAKE_ROOM = 1_000
STEPS_TO_SETTLE = 5_000
STEPS_TO_CHECK = 20_000

# Upstreams around an account's pinned work that a block is compared with.
MAX_NEAR = 256

# Upstreams with borrowers of an account that a new block is compared with.
MAX_UNDER_WORK = 64

# Blocks laid elsewhere to make room for one job.
MAX_BLOCKS_MOVED = 8


class BlockKey(NamedTuple):
    """The account of a block and its place in the account's guarantee."""

    account: str
    block: int


@dataclass
class Block:
    """One guaranteed shape and where it is laid, ``None`` if nowhere."""

    key: BlockKey
    shape: Shape
    members: MemberCounts | None = None


@dataclass
class GuaranteeLayout:
    """Blocks of all client accounts and their cells on the fleet."""

    fleet: Fleet
    block_by_key: dict[BlockKey, Block] = field(default_factory=dict)
    # Blocks that are to be laid, in the order in which they are tried.
    pending: dict[BlockKey, None] = field(default_factory=dict)
    at_risk: dict[BlockKey, None] = field(default_factory=dict)
    keys_by_node: dict[str, set[BlockKey]] = field(default_factory=dict)
    moved: list[tuple[str, str]] = field(default_factory=list)

    def set_guarantee(self, account: str, guarantee: tuple[Shape, ...]) -> None:
        """Replace an account's blocks; unchanged shapes keep their cells."""
        kept: dict[Shape, list[MemberCounts]] = {}
        for key in self.keys_of(account):
            block = self.block_by_key.pop(key)
            self.pending.pop(key, None)
            self.at_risk.pop(key, None)
            if block.members is None:
                continue
            kept.setdefault(block.shape, []).append(block.members)
            self._lift(block)
        for number, shape in enumerate(guarantee):
            block = Block(BlockKey(account, number), shape)
            self.block_by_key[block.key] = block
            if kept.get(shape):
                self._put(block, kept[shape].pop())
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
        """Lift every block that has a cell on an upstream, to lay it anew."""
        for key in sorted(self.keys_by_node.get(node_id, ())):
            block = self.block_by_key[key]
            self._lift(block)
            self.pending[key] = None

    def retry_at_risk(self) -> None:
        """Try the blocks at risk again."""
        for key in self.at_risk:
            self.pending[key] = None

    def settle(self, limit: int) -> None:
        """Lay at most ``limit`` pending blocks, the largest first."""
        budget = Budget(STEPS_TO_SETTLE)
        waiting = sorted(self.pending, key=self._order)
        for key in waiting[:limit]:
            if key not in self.pending:
                continue
            del self.pending[key]
            block = self.block_by_key[key]
            if self.lay(block) or self._lay_with(block, budget):
                self.at_risk.pop(key, None)
                continue
            self.at_risk[key] = None

    def _lay_with(self, block: Block, budget: Budget) -> bool:
        """Lay a block by moving the others; return whether all fit."""
        if not can_search(self.fleet):
            return False
        return self._lay_anew([*self._laid(), block], budget)

    def _laid(self) -> list[Block]:
        return [one for one in self.block_by_key.values() if one.members is not None]

    def _order(self, key: BlockKey) -> tuple[int, int, BlockKey]:
        shape = self.block_by_key[key].shape
        return (-shape.gang * shape.accelerators, -shape.accelerators, key)

    def lay(self, block: Block) -> bool:
        """Lay one block beside the others; return whether it fits."""
        members = self._find(block.key.account, block.shape)
        if members is None:
            return False
        self._put(block, members)
        return True

    def _find(self, account: str, shape: Shape) -> MemberCounts | None:
        def room(node: Node) -> int:
            return _room(node, account, shape)

        ids = self.fleet.pinned_ids_by_account.get(account, set())
        members = self._find_under_work(account, shape, room)
        if members is not None:
            return members
        members = search_index(self.fleet, CapacityView.OPEN, shape, room)
        if members is not None or not ids:
            return members
        # Cells may overlap the account's own pinned work, which the index of
        # open capacity counts as taken.
        near = set(ids)
        for zone, index in self.fleet.indexes(CapacityView.OPEN):
            for rack in sorted({self.fleet.node_by_id[one].rack for one in ids}):
                if rack[0] == zone and len(near) < MAX_NEAR:
                    near.update(index.ids_in_rack(rack))
        nodes = [
            one
            for one in self.fleet.nodes(sorted(near))
            if self.fleet.accepts_guarantees(one)
        ]
        return search_nodes(nodes, shape, room)

    def _find_under_work(
        self, account: str, shape: Shape, room: MemberCapacity
    ) -> MemberCounts | None:
        """Look where the account's own work stands, pinned or borrowing."""
        need = member_need(shape)
        ids = set(self.fleet.pinned_ids_by_account.get(account, ()))
        uncovered = []
        for node in self.fleet.nodes(sorted(ids)):
            if self.fleet.accepts_guarantees(node) and fit_count(
                need, _uncovered(node, account)
            ):
                uncovered.append(node)
        members = search_nodes(uncovered, shape, room)
        if members is not None:
            return members
        borrowing = sorted(self.fleet.borrowing_by_account.get(account, ()))
        ids.update(borrowing[:MAX_UNDER_WORK])
        nodes = [
            one
            for one in self.fleet.nodes(sorted(ids))
            if self.fleet.accepts_guarantees(one)
        ]
        return search_nodes(nodes, shape, room)

    def _put(self, block: Block, members: MemberCounts) -> None:
        block.members = members
        need = member_need(block.shape)
        for node_id, count in members.items():
            node = self.fleet.node_by_id[node_id]
            self.fleet.add_guaranteed(node, block.key.account, scale(need, count))
            self.keys_by_node.setdefault(node_id, set()).add(block.key)
            self.moved.append((block.key.account, node_id))

    def _lift(self, block: Block) -> None:
        assert block.members is not None
        need = member_need(block.shape)
        for node_id, count in block.members.items():
            node = self.fleet.node_by_id[node_id]
            self.fleet.add_guaranteed(node, block.key.account, scale(need, -count))
            self.keys_by_node[node_id].discard(block.key)
            self.moved.append((block.key.account, node_id))
        block.members = None

    def _lay_anew(self, blocks: list[Block], budget: Budget) -> bool:
        """Lay blocks anew by search; return whether all of them fit.

        Work inside its account's guarantee is moved only if there is no
        layout around it.
        """
        blocks = sorted(blocks, key=lambda one: self._order(one.key))
        demands = [Demand(one.key, one.shape) for one in blocks]
        found = search_layout(self.fleet, demands, budget, around_home=True)
        if found is None:
            found = search_layout(self.fleet, demands, budget)
        if found is None:
            return False
        for block in blocks:
            if block.members is not None:
                self._lift(block)
        for block, members in zip(blocks, found, strict=True):
            self._put(block, members)
        return True

    def make_room(self, account: str, need: Vector, members: MemberCounts) -> bool:
        """Lay unused cells elsewhere so that work can be pinned.

        The work takes ``need`` for each of ``members``.  Return whether the
        layout now leaves room for it; if not, the layout is as before.
        """
        nodes = self.fleet.nodes(members)
        for node in nodes:
            self.fleet.pin(node, account, scale(need, members[node.node_id]))
        fits = self._lay_away(nodes)
        if not fits and can_search(self.fleet):
            fits = self._lay_anew(self._laid(), Budget(STEPS_TO_MAKE_ROOM))
        for node in nodes:
            self.fleet.pin(node, account, scale(need, -members[node.node_id]))
            self.fleet.refresh(node)
        return fits

    def _lay_away(self, nodes: list[Node]) -> bool:
        lifted: list[tuple[Block, MemberCounts]] = []
        for node in nodes:
            for key in sorted(self.keys_by_node.get(node.node_id, ())):
                if covers(node.uncommitted(), ZERO):
                    break
                block = self.block_by_key[key]
                if block.members is None or self._in_use(block):
                    continue
                if len(lifted) == MAX_BLOCKS_MOVED:
                    break
                lifted.append((block, block.members))
                self._lift(block)
        fits = all(covers(node.uncommitted(), ZERO) for node in nodes)
        laid = []
        for block, _ in lifted:
            if not fits or not self.lay(block):
                fits = False
                break
            laid.append(block)
        if fits:
            return True
        for block in laid:
            self._lift(block)
        for block, old in lifted:
            self._put(block, old)
        return False

    def move_block_to(self, account: str, node_ids: list[str]) -> None:
        """Lay an unused block of an account under its work, if one fits."""
        for key in self.keys_of(account):
            block = self.block_by_key[key]
            if block.members is None or self._in_use(block):
                continue
            if self._lay_on(block, node_ids):
                return

    def _lay_on(self, block: Block, node_ids: list[str]) -> bool:
        """Move a block to the given upstreams; if it does not fit, keep it."""
        assert block.members is not None
        old = block.members
        self._lift(block)

        def room(node: Node) -> int:
            return _room(node, block.key.account, block.shape)

        found = search_nodes(self.fleet.nodes(node_ids), block.shape, room)
        self._put(block, found or old)
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
        """Return new blocks that do not fit beside all others.

        The layout is the same afterwards.
        """
        added = self._added(guarantee_by_account)
        if not added:
            return []
        lifted = self._lift_removed(guarantee_by_account)
        missing = []
        tried = []
        for block in sorted(added, key=lambda one: -one.shape.gang):
            if self.lay(block):
                tried.append(block)
                continue
            missing.append(block)
        for block in tried:
            self._lift(block)
        for block, members in lifted:
            self._put(block, members)
        if missing and self._fits_anew(guarantee_by_account):
            return []
        return missing

    def _added(self, guarantee_by_account: dict[str, tuple[Shape, ...]]) -> list[Block]:
        added = []
        for account in sorted(guarantee_by_account):
            known = [self.block_by_key[key].shape for key in self.keys_of(account)]
            for number, shape in enumerate(guarantee_by_account[account]):
                if shape in known:
                    known.remove(shape)
                    continue
                added.append(Block(BlockKey(account, number), shape))
        return added

    def _lift_removed(
        self, guarantee_by_account: dict[str, tuple[Shape, ...]]
    ) -> list[tuple[Block, MemberCounts]]:
        lifted = []
        left_by_account = {
            name: list(shapes) for name, shapes in guarantee_by_account.items()
        }
        for key, block in self.block_by_key.items():
            left = left_by_account.get(key.account, [])
            if block.shape in left:
                left.remove(block.shape)
                continue
            if block.members is not None:
                lifted.append((block, block.members))
                self._lift(block)
        return lifted

    def _fits_anew(self, guarantee_by_account: dict[str, tuple[Shape, ...]]) -> bool:
        if not can_search(self.fleet):
            return False
        demands = []
        for account in sorted(guarantee_by_account):
            for number, shape in enumerate(guarantee_by_account[account]):
                demands.append(Demand(BlockKey(account, number), shape))
        demands.sort(
            key=lambda one: (-one.shape.gang * one.shape.accelerators, one.key)
        )
        return search_layout(self.fleet, demands, Budget(STEPS_TO_CHECK)) is not None


def _room(node: Node, account: str, shape: Shape) -> int:
    """Return how many further cells of ``shape`` the node can hold."""
    others = subtract(node.committed, node.committed_to(account))
    taken = add(others, node.guaranteed_by_account.get(account, ZERO))
    return fit_count(member_need(shape), subtract(node.capacity, taken))


def _uncovered(node: Node, account: str) -> Vector:
    pinned = node.pinned_by_account.get(account, ZERO)
    left = subtract(pinned, node.guaranteed_by_account.get(account, ZERO))
    return (left[0], left[1], left[2], max(1, left[3]))
