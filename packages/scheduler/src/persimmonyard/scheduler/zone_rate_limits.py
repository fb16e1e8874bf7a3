"""Rate limits for the warm-up and the evacuation of zones."""

from dataclasses import dataclass

__all__ = ["TokenBucket", "ZoneRateLimits"]

# Placements per second in a zone that has just returned to service.  The rate
# doubles every DOUBLING_TIME_S; after WARM_UP_S there is no limit.
WARM_UP_PER_S = 2.0
DOUBLING_TIME_S = 5.0
WARM_UP_S = 60.0

# Preemptions per second to evacuate a zone that is out of service, or the
# leaving upstreams of a zone, so that the rest of the fleet does not start all
# evacuated tasks at once.
EVACUATION_PER_S = 10.0


@dataclass
class TokenBucket:
    """A token bucket that holds at most the tokens of one second.

    Its capacity is one token if fewer than one is added per second.
    """

    tokens: float
    refilled_at: float

    def refill(self, now: float, per_s: float) -> None:
        """Add the tokens for the time since the last refill."""
        refilled = self.tokens + max(0.0, now - self.refilled_at) * per_s
        self.tokens = min(refilled, max(1.0, per_s))
        self.refilled_at = max(self.refilled_at, now)


@dataclass
class _WarmUp:
    started_at: float
    bucket: TokenBucket


class ZoneRateLimits:
    """Rate limits by zone for placements in warm-up and for evacuations."""

    def __init__(self) -> None:
        self._warm_up_by_zone: dict[str, _WarmUp] = {}
        self._evacuation_by_zone: dict[str, TokenBucket] = {}

    def start_warm_up(self, zone: str, now: float) -> None:
        """Start the warm-up of a zone that has returned to service."""
        self._warm_up_by_zone[zone] = _WarmUp(now, TokenBucket(1.0, now))

    def cancel_warm_up(self, zone: str) -> None:
        """Cancel the warm-up of a zone that went out of service."""
        self._warm_up_by_zone.pop(zone, None)

    def throttled(self, now: float) -> set[str]:
        """Return the zones that may take no placement now."""
        throttled = set()
        for zone, warm_up in list(self._warm_up_by_zone.items()):
            elapsed = max(0.0, now - warm_up.started_at)
            if elapsed >= WARM_UP_S:
                del self._warm_up_by_zone[zone]
                continue
            per_s = WARM_UP_PER_S * 2.0 ** (elapsed / DOUBLING_TIME_S)
            warm_up.bucket.refill(now, per_s)
            if warm_up.bucket.tokens < 1.0:
                throttled.add(zone)
        return throttled

    def record_placement(self, zones: set[str]) -> None:
        """Spend one token of each zone that a placement uses."""
        for zone in zones:
            if zone in self._warm_up_by_zone:
                self._warm_up_by_zone[zone].bucket.tokens -= 1.0

    def is_warming_up(self) -> bool:
        """Return whether any zone is in warm-up."""
        return bool(self._warm_up_by_zone)

    def may_evacuate(self, zone: str, now: float) -> bool:
        """Return whether one more task may be evacuated from a zone now."""
        bucket = self._evacuation_by_zone.get(zone)
        if bucket is None:
            bucket = TokenBucket(EVACUATION_PER_S, now)
            self._evacuation_by_zone[zone] = bucket
        bucket.refill(now, EVACUATION_PER_S)
        return bucket.tokens >= 1.0

    def record_evacuation(self, zone: str) -> None:
        """Spend one token for a task that is evacuated from a zone."""
        self._evacuation_by_zone[zone].tokens -= 1.0
