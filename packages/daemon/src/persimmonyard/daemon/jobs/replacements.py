"""How the leader records that an upstream is silent or has a successor."""

from typing import TYPE_CHECKING

from persimmonyard.daemon.jobs.end_proofs import EndProof
from persimmonyard.daemon.jobs.upstream_registry import UpstreamRegistry
from persimmonyard.jobs import (
    Answer,
    NoteSilence,
    RunSilence,
    Upstream,
    UpstreamReport,
)

if TYPE_CHECKING:
    from persimmonyard.daemon.jobs.leader_term import LeaderTerm
    from persimmonyard.daemon.jobs.session import UpstreamSession

__all__ = ["Replacements"]


class Replacements:
    """Commits silences and the reports of successors in their order.

    What is known of the runs on an upstream that has ended is committed
    before the report of its successor, which shows the crash.
    """

    def __init__(self, leader_term: "LeaderTerm", registry: UpstreamRegistry):
        self._term = leader_term
        self._registry = registry

    def replace_predecessors(self, upstream: Upstream) -> None:
        """End the runs of earlier upstreams at the address of a new one.

        Its report is committed first, so that runs on an upstream that has
        crashed count before their tasks are placed again.
        """
        session = self._term.find_session(upstream.report.upstream_id)
        predecessors = self._term.fleet.predecessors(upstream.report)
        if session is None and not predecessors:
            return
        silences: list[RunSilence] = []
        if session is not None:
            silences += session.silences()
        for predecessor in predecessors:
            earlier = self._term.find_session(predecessor.report.upstream_id)
            if earlier is not None:
                silences += earlier.silences()
        successor = None
        if session is not None:
            session.log_replacement(upstream.report)
            successor = self._term.replace_session(session, upstream)
        self._term.spawn(
            self._commit_successor(upstream, predecessors, silences, successor)
        )

    async def _commit_successor(
        self,
        upstream: Upstream,
        predecessors: list[Upstream],
        silences: list[RunSilence],
        successor: "UpstreamSession | None",
    ) -> None:
        await self.note_silence(silences)
        if successor is not None:
            await successor.forgotten_ends.note()
        await self._registry.commit((upstream.report,))
        if successor is not None:
            await successor.begin()
        for predecessor in predecessors:
            predecessor.gone = True
            self._term.record_event("crashed")
            session = self._term.find_session(predecessor.report.upstream_id)
            if session is not None:
                session.log_replacement(upstream.report)
                await session.record_all_lost(EndProof.SUCCESSOR)

    async def note_silence(self, silences: list[RunSilence]) -> None:
        """Commit what the silence of an upstream says about its runs."""
        if silences:
            await self._term.propose(NoteSilence(tuple(silences)))

    async def note_answer(self, report: UpstreamReport) -> None:
        """Commit that an upstream answers again, if its silence was noted."""
        if self.ends_silence(report):
            await self._term.propose(NoteSilence((), (_answer(report),)))

    def ends_silence(self, report: UpstreamReport) -> bool:
        """Return whether an answer voids what is recorded of a silence."""
        return self._term.store.is_voided_by(_answer(report))


def _answer(report: UpstreamReport) -> Answer:
    return Answer(report.upstream_id, report.incarnation, report.address)
