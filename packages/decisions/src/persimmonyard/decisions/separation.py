"""Whether a seat puts tasks together that slow each other down.

Load pattern: tasks of some kinds compete on one upstream for something that
they do not declare.  Where other seats are free, such tasks are kept apart;
where none are, they share an upstream, since a slow task is better than one
that waits.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["Effect", "Slowed", "Undisturbed", "decide_separation", "effects_on"]


class Effect(NamedTuple):
    """A known slowdown of tasks of one kind beside tasks of another.

    Tasks of kind ``slowed`` run at ``factor`` of the rate that they have
    without neighbours of kind ``by``.
    """

    slowed: str
    by: str
    factor: float


@dataclass(frozen=True)
class Undisturbed:
    """The seat slows neither the new task nor its neighbours."""

    reason: str = "no known slowdown"


@dataclass(frozen=True)
class Slowed:
    """Tasks of one kind slow down to ``factor`` because of kind ``by``.

    Of several such effects on the seat this is the strongest.
    """

    factor: float
    by: str
    reason: str


_UNDISTURBED = Undisturbed()


def effects_on(kind: str, effects: Iterable[Effect]) -> dict[str, Effect]:
    """Return the strongest effect between a kind and each other kind.

    It may slow either of them; the result is keyed by the other one.
    """
    found: dict[str, Effect] = {}
    for effect in effects:
        if kind not in (effect.slowed, effect.by):
            continue
        other = effect.by if effect.slowed == kind else effect.slowed
        known = found.get(other)
        if known is None or effect.factor < known.factor:
            found[other] = effect
    return found


def decide_separation(
    running: Collection[str], effect_by_kind: Mapping[str, Effect]
) -> Undisturbed | Slowed:
    """Decide whether a seat slows the new task or one that runs there.

    ``running`` are the kinds on the upstream and ``effect_by_kind`` the result
    of ``effects_on`` for the kind of the new task.
    """
    strongest: Effect | None = None
    for kind in running:
        effect = effect_by_kind.get(kind)
        if effect is None:
            continue
        if strongest is None or _strength(effect) < _strength(strongest):
            strongest = effect
    if strongest is None:
        return _UNDISTURBED
    reason = f"{strongest.slowed} runs at {strongest.factor:.2f} beside {strongest.by}"
    return Slowed(strongest.factor, strongest.by, reason)


def _strength(effect: Effect) -> tuple[float, str, str]:
    """Return a key that orders effects, the strongest first."""
    return effect.factor, effect.slowed, effect.by
