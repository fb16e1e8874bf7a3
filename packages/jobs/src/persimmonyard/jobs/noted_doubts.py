"""Ends that upstreams may forget unread, in the replicated state.

Load pattern: an upstream leaves an acknowledgement unanswered, restarts under
its identifier, and executes it then.  The ends of its new runs up to that
number are never listed.  The next leader has to know this as well.
"""

from collections.abc import Iterable

import msgspec

__all__ = ["EndDoubt", "NotedDoubts"]

# At most this many are kept; the oldest ones are forgotten first.
_MAX_DOUBTS = 4_096


class EndDoubt(msgspec.Struct, frozen=True, array_like=True):
    """How many ends an incarnation of an upstream may forget; 0 for none."""

    upstream_id: str
    incarnation: int
    count: int


class NotedDoubts:
    """The last doubt about each upstream.

    It outlives the report of an upstream, which may be cut off and return.
    """

    def __init__(self, doubts: Iterable[EndDoubt] = ()):
        self._by_id: dict[str, EndDoubt] = {}
        for doubt in doubts:
            self.note(doubt)

    def note(self, doubt: EndDoubt) -> None:
        """Store a doubt; one about an earlier incarnation changes nothing."""
        known = self._by_id.get(doubt.upstream_id)
        if known is not None and known.incarnation > doubt.incarnation:
            return
        self._by_id.pop(doubt.upstream_id, None)
        if not doubt.count:
            return
        if len(self._by_id) >= _MAX_DOUBTS:
            del self._by_id[next(iter(self._by_id))]
        self._by_id[doubt.upstream_id] = doubt

    def count(self, upstream_id: str, incarnation: int) -> int:
        """Return how many ends an incarnation may forget."""
        doubt = self._by_id.get(upstream_id)
        if doubt is None or doubt.incarnation != incarnation:
            return 0
        return doubt.count

    def all(self) -> list[EndDoubt]:
        """Return all doubts, the oldest first."""
        return list(self._by_id.values())
