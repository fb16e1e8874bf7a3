"""Notes to the controllers about what the state machine changed."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["ChangeEvent", "ChangeKind"]


class ChangeKind(StrEnum):
    """What kind of item a change concerns."""

    REQUEST = "request"
    UPSTREAM = "upstream"
    CONFIGURATION = "configuration"


class ChangeEvent(NamedTuple):
    """A note to the controllers that an item is different from before."""

    kind: ChangeKind
    item_id: str
