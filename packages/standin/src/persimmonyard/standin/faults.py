"""Faults that can be injected into a stand-in upstream."""

import base64
from dataclasses import dataclass
from typing import Any

__all__ = ["AnswerFaults", "Behaviour"]


@dataclass
class Behaviour:
    """The faults that are injected; by default there are none.

    ``fail_all`` makes every task fail, ``refuse_all`` makes every ``prepare``
    call be refused.  ``vanish`` makes every call hang and stops the
    announcements.  ``start_delay_s`` delays the replies to ``start`` calls,
    and announcements report the usage of ``usage_lag_s`` ago.

    ``answer_faults`` lists a fault for the first, the second and so on fetch
    of each answer; later fetches get the correct reply.  The faults are:

    - ``cut`` drops the last byte of the body,
    - ``swapped`` replaces the attempt by another one,
    - ``previous`` repeats the reply to the fetch before, of any answer,
    - ``late`` delays the reply by ``late_s`` seconds.
    """

    fail_all: bool = False
    refuse_all: bool = False
    vanish: bool = False
    start_delay_s: float = 0.0
    answer_faults: tuple[str, ...] = ()
    late_s: float = 3.0
    usage_lag_s: float = 0.0


class AnswerFaults:
    """Applies the ``answer_faults`` of a ``Behaviour`` to fetched answers."""

    def __init__(self) -> None:
        self._fetch_count_by_key: dict[tuple[str, int], int] = {}
        self._previous_reply: dict[str, Any] | None = None

    def apply(
        self, reply: dict[str, Any], behaviour: Behaviour
    ) -> tuple[dict[str, Any], float]:
        """Return the reply to send and the delay before it, in seconds."""
        key = (reply["attempt"], reply["member"])
        fetch_count = self._fetch_count_by_key.get(key, 0)
        self._fetch_count_by_key[key] = fetch_count + 1
        previous = self._previous_reply
        self._previous_reply = reply
        if fetch_count >= len(behaviour.answer_faults):
            return reply, 0.0
        match behaviour.answer_faults[fetch_count]:
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
