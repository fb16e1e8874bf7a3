"""Assignment of attempts to the entries that dispatch them."""

import asyncio
import hashlib

from persimmonyard.daemon.control.entry_session import EntrySession
from persimmonyard.daemon.control.replicated_state import ReplicatedState
from persimmonyard.daemon.control.sessions import SessionController
from persimmonyard.daemon.control.views import dispatch_order_for, outcome_of
from persimmonyard.daemon.logs import get_logger
from persimmonyard.model import PersimmonyardError
from persimmonyard.state import ChangeEvent, ChangeKind
from persimmonyard.state.commands import AssignDispatch
from persimmonyard.state.records import AttemptState, RequestRecord

__all__ = ["AssignmentController"]

LEASE_CHECK_INTERVAL_S = 0.5
# The reassignments of one round share a group commit.
MAX_REASSIGNMENTS_PER_ROUND = 256


class AssignmentController:
    """Send dispatch orders and outcomes to entries.

    Attempts of an entry whose lease has expired, or that is shutting down,
    are reassigned to other entries.
    """

    def __init__(self, replicated_state: ReplicatedState, sessions: SessionController):
        self._replicated_state = replicated_state
        self._sessions = sessions
        self._logger = get_logger("assignments")
        self._request_ids_by_entry: dict[str, set[str]] = {}
        self._entry_by_request: dict[str, str] = {}

    def on_leadership_gained(self) -> None:
        """Build the index of live attempts by entry."""
        self.on_leadership_lost()
        for record in self._replicated_state.machine.request_by_id.values():
            self._update_index(record)

    def on_leadership_lost(self) -> None:
        """Clear the index."""
        self._request_ids_by_entry = {}
        self._entry_by_request = {}

    def on_changes(self, changes: list[ChangeEvent]) -> None:
        """Send the orders and outcomes that result from changed requests."""
        for change in changes:
            if change.kind != ChangeKind.REQUEST:
                continue
            record = self._replicated_state.machine.request_by_id.get(change.item_id)
            if record is None:
                continue
            self._update_index(record)
            if record.ended():
                self._send_outcome_to_watchers(record)
            self._send_order(record)

    def live_attempt_count(self, entry_id: str) -> int:
        """Return the number of live attempts assigned to an entry."""
        return len(self._request_ids_by_entry.get(entry_id, ()))

    def on_session_opened(self, session: EntrySession) -> None:
        """Send orders for all live attempts of an entry that has connected."""
        for request_id in list(self._request_ids_by_entry.get(session.entry_id, ())):
            self._send_order(self._replicated_state.machine.request_by_id[request_id])

    def has_available_entry(self) -> bool:
        """Return whether any entry accepts work."""
        return any(map(self._sessions.accepts_work, self._sessions.session_by_entry))

    def pick_entry(self, upstream_id: str) -> str | None:
        """Return the entry that dispatches to an upstream.

        Return ``None`` if no entry accepts work.

        Rendezvous hashing assigns all tasks of an upstream to one entry,
        which renews their leases in one call, and moves few of them when
        entries are added or removed.
        """
        best = None
        best_score = b""
        for entry_id in self._sessions.session_by_entry:
            if not self._sessions.accepts_work(entry_id):
                continue
            score = hashlib.blake2b(
                f"{entry_id} {upstream_id}".encode(), digest_size=8
            ).digest()
            if best is None or score > best_score:
                best = entry_id
                best_score = score
        return best

    def dump(self) -> dict[str, int]:
        """Return the number of attempts by entry for the state dump."""
        count_by_entry = {}
        for entry_id, request_ids in self._request_ids_by_entry.items():
            count_by_entry[entry_id] = len(request_ids)
        return count_by_entry

    async def run(self) -> None:
        """Reassign attempts of entries that have expired or are stopping."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            if not self._replicated_state.is_leader():
                continue
            self._sessions.remove_expired()
            request_ids = self._orphaned_request_ids()
            await asyncio.gather(
                *(self._reassign(request_id) for request_id in request_ids)
            )

    def _orphaned_request_ids(self) -> list[str]:
        """Return requests whose attempt must move to another entry.

        Their entry no longer accepts work.  An entry that has not connected
        yet keeps its attempts until the leases granted by earlier leaders
        have expired.  At most ``MAX_REASSIGNMENTS_PER_ROUND`` are returned.
        """
        earlier_leases_expired = self._sessions.earlier_leases_expired()
        request_ids_to_move: list[str] = []
        for entry_id, request_ids in self._request_ids_by_entry.items():
            if self._sessions.accepts_work(entry_id):
                continue
            if not earlier_leases_expired and not self._sessions.is_live(entry_id):
                continue
            for request_id in request_ids:
                if len(request_ids_to_move) == MAX_REASSIGNMENTS_PER_ROUND:
                    return request_ids_to_move
                request_ids_to_move.append(request_id)
        return request_ids_to_move

    async def _reassign(self, request_id: str) -> None:
        record = self._replicated_state.machine.request_by_id.get(request_id)
        attempt = record.live_attempt() if record is not None else None
        if attempt is None:
            return
        entry_id = self.pick_entry(attempt.members[0].upstream_id)
        if entry_id is None:
            return
        try:
            await self._replicated_state.commit(
                AssignDispatch(request_id, attempt.number, entry_id)
            )
        except PersimmonyardError as error:
            self._logger.warning(
                "reassignment not committed", request=request_id, error=str(error)
            )

    def _update_index(self, record: RequestRecord) -> None:
        attempt = record.live_attempt()
        entry_id = attempt.entry_id if attempt is not None else None
        previous_entry_id = self._entry_by_request.get(record.request_id)
        if previous_entry_id == entry_id:
            return
        if previous_entry_id is not None:
            del self._entry_by_request[record.request_id]
            self._remove_from_index(previous_entry_id, record.request_id)
        if entry_id is not None:
            self._entry_by_request[record.request_id] = entry_id
            request_ids = self._request_ids_by_entry.setdefault(entry_id, set())
            request_ids.add(record.request_id)

    def _remove_from_index(self, entry_id: str, request_id: str) -> None:
        request_ids = self._request_ids_by_entry[entry_id]
        request_ids.discard(request_id)
        if not request_ids:
            del self._request_ids_by_entry[entry_id]
        session = self._sessions.session_by_entry.get(entry_id)
        if session is not None:
            session.sent_order_by_request.pop(request_id, None)

    def _send_order(self, record: RequestRecord) -> None:
        attempt = record.live_attempt()
        if attempt is None:
            return
        session = self._sessions.session_by_entry.get(attempt.entry_id)
        if session is None:
            return
        sent_order = session.sent_order_by_request.get(record.request_id)
        current_order = (attempt.fence, f"{attempt.state} {attempt.lost_members}")
        if sent_order == current_order:
            return
        session.sent_order_by_request[record.request_id] = current_order
        taken_over = sent_order is None or sent_order[0] != attempt.fence
        if attempt.state == AttemptState.STARTED and not taken_over:
            return
        order = dispatch_order_for(
            self._replicated_state.machine, record, attempt, taken_over
        )
        session.push(orders=(order,))

    def _send_outcome_to_watchers(self, record: RequestRecord) -> None:
        for session in self._sessions.session_by_entry.values():
            if record.request_id not in session.watched_ids:
                continue
            session.watched_ids.discard(record.request_id)
            session.push(outcomes=(outcome_of(record),))
