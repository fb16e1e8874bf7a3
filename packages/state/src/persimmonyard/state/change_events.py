"""Change events that the state machine emits for the controllers."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["ChangeEvent", "ChangeKind"]


class ChangeKind(StrEnum):
    """The kind of item that a change event refers to."""

    REQUEST = "request"
    UPSTREAM = "upstream"
    CONFIGURATION = "configuration"


class ChangeEvent(NamedTuple):
    """Tells the controllers that an item has changed.

    ``item_id`` is the identifier of the request or upstream, or the new
    version of the configuration.
    """

    kind: ChangeKind
    item_id: str
