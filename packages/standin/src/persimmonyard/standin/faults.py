"""Faults that a stand-in upstream shows on request."""

import base64
from dataclasses import dataclass
from typing import Any

__all__ = ["AnswerFaults", "Behaviour"]


@dataclass
class Behaviour:
    """Faults that the stand-in shows; the default shows none.

    ``answer_faults`` names what is wrong with the first, second, and so on
    fetch of each answer; later fetches are right.  ``cut`` drops the last
    byte, ``swapped`` gives another attempt's identity, ``previous`` repeats
    the reply to an earlier fetch, ``late`` waits ``late_s`` seconds.
    ``vanish`` makes every call hang and stops the announcements.
    """

    fail_all: bool = False
    refuse_all: bool = False
    vanish: bool = False
    start_delay_s: float = 0.0
    answer_faults: tuple[str, ...] = ()
    late_s: float = 3.0
    usage_lag_s: float = 0.0


class AnswerFaults:
    """Spoil the replies to fetches as ``Behaviour`` says."""

    def __init__(self) -> None:
        self._fetches_by_key: dict[tuple[str, int], int] = {}
        self._previous: dict[str, Any] | None = None

    def apply(
        self, reply: dict[str, Any], behaviour: Behaviour
    ) -> tuple[dict[str, Any], float]:
        """Return the reply to send and how many seconds to wait first."""
        key = (reply["attempt"], reply["member"])
        count = self._fetches_by_key.get(key, 0)
        self._fetches_by_key[key] = count + 1
        previous = self._previous
        self._previous = reply
        if count >= len(behaviour.answer_faults):
            return reply, 0.0
        match behaviour.answer_faults[count]:
            case "cut":
                body = base64.b64decode(reply["body"])[:-1]
                return reply | {"body": base64.b64encode(body).decode()}, 0.0
            case "swapped":
                return reply | {"attempt": f"{reply['attempt']}0"}, 0.0
            case "previous" if previous is not None:
                return previous, 0.0
            case "late":
                return reply, behaviour.late_s
        return reply, 0.0
