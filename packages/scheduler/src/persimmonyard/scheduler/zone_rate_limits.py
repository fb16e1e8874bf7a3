"""Rates at which zones are warmed up and emptied."""

from dataclasses import dataclass

__all__ = ["TokenBucket", "ZoneRateLimits"]

# Placements a second in a zone that has just come back, doubled every
# DOUBLING_S until WARM_AFTER_S, when the limit ends.
WARM_UP_PER_S = 2.0
DOUBLING_S = 5.0
WARM_AFTER_S = 60.0

# Preemptions a second in a zone that is out of service or on upstreams that
# leave, so that the rest of the fleet does not start all moved work at once.
EVACUATION_PER_S = 10.0


@dataclass
class TokenBucket:
    """Tokens that refill with time, at most one second's worth."""

    tokens: float
    at: float

    def refill(self, now: float, per_s: float) -> None:
        """Add the tokens for the time since the last refill."""
        grown = self.tokens + max(0.0, now - self.at) * per_s
        self.tokens = min(grown, max(1.0, per_s))
        self.at = max(self.at, now)


@dataclass
class _WarmUp:
    since: float
    bucket: TokenBucket


class ZoneRateLimits:
    """Zones that are warmed up, and the pace of evacuation by zone."""

    def __init__(self) -> None:
        self._warm_up_by_zone: dict[str, _WarmUp] = {}
        self._evacuation_by_zone: dict[str, TokenBucket] = {}

    def start_warm_up(self, zone: str, now: float) -> None:
        """Begin to warm up a zone that is back in service."""
        self._warm_up_by_zone[zone] = _WarmUp(now, TokenBucket(1.0, now))

    def cancel_warm_up(self, zone: str) -> None:
        """Forget the warm-up of a zone that is out of service."""
        self._warm_up_by_zone.pop(zone, None)

    def throttled(self, now: float) -> set[str]:
        """Return the zones that take no placement at this moment."""
        throttled = set()
        for zone, warm_up in list(self._warm_up_by_zone.items()):
            elapsed = max(0.0, now - warm_up.since)
            if elapsed >= WARM_AFTER_S:
                del self._warm_up_by_zone[zone]
                continue
            per_s = WARM_UP_PER_S * 2.0 ** (elapsed / DOUBLING_S)
            warm_up.bucket.refill(now, per_s)
            if warm_up.bucket.tokens < 1.0:
                throttled.add(zone)
        return throttled

    def record_placement(self, zones: set[str]) -> None:
        """Spend one token of each zone that a placement touches."""
        for zone in zones:
            if zone in self._warm_up_by_zone:
                self._warm_up_by_zone[zone].bucket.tokens -= 1.0

    def is_warming_up(self) -> bool:
        """Return whether any zone is being warmed up."""
        return bool(self._warm_up_by_zone)

    def may_evacuate(self, zone: str, now: float) -> bool:
        """Return whether one more task may be moved out of a zone now."""
        bucket = self._evacuation_by_zone.get(zone)
        if bucket is None:
            bucket = TokenBucket(EVACUATION_PER_S, now)
            self._evacuation_by_zone[zone] = bucket
        bucket.refill(now, EVACUATION_PER_S)
        return bucket.tokens >= 1.0

    def record_evacuation(self, zone: str) -> None:
        """Spend one token for a task that is moved out of a zone."""
        self._evacuation_by_zone[zone].tokens -= 1.0
