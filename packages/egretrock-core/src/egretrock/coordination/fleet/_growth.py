"""Limits that shrink at once and grow late."""

import msgspec

from egretrock.state.config import Organisation, PublishedConfig
from egretrock.state.ids import OrganisationId

#: Earlier limits kept; with more changes in a row the oldest two are merged.
_MAX_EARLIER = 16


class OrganisationLimits(msgspec.Struct, frozen=True):
    """Limits of one organisation over the whole fleet.

    Attributes:
        rate_per_s: Requests per second.
        burst: Requests at once after a pause.
    """

    rate_per_s: float
    burst: float


class _Earlier(msgspec.Struct, frozen=True):
    limits: dict[OrganisationId, OrganisationLimits]
    until_s: float


class LimitHistory:
    """Limits in force, and replaced ones that still bound them.

    Args:
        growth_s: Seconds after which a larger limit may be used.
    """

    def __init__(self, growth_s: float) -> None:
        self._growth_s = growth_s
        self._current: dict[OrganisationId, OrganisationLimits] = {}
        self._earlier: list[_Earlier] = []

    def adopt(self, config: PublishedConfig, now_s: float) -> None:
        """Takes the limits of an accepted configuration."""
        earlier = [e for e in self._earlier if now_s < e.until_s]
        if self._current:
            earlier.append(_Earlier(self._current, now_s + self._growth_s))
        if len(earlier) > _MAX_EARLIER:
            first, second, *rest = earlier
            earlier = [_merge(first, second), *rest]
        self._earlier = earlier
        self._current = {
            organisation: _limits_of(entry)
            for organisation, entry in config.organisations.items()
        }

    def usable(
        self, organisation: OrganisationId, now_s: float
    ) -> OrganisationLimits | None:
        """Returns the smallest limits that still count, or None if unknown."""
        limits = self._current.get(organisation)
        if limits is None:
            return None
        for earlier in self._earlier:
            other = earlier.limits.get(organisation)
            if other is not None and now_s < earlier.until_s:
                limits = _smaller(limits, other)
        return limits


def _limits_of(entry: Organisation) -> OrganisationLimits:
    return OrganisationLimits(entry.rate_per_s, entry.burst)


def _smaller(
    one: OrganisationLimits, other: OrganisationLimits
) -> OrganisationLimits:
    return OrganisationLimits(
        min(one.rate_per_s, other.rate_per_s), min(one.burst, other.burst)
    )


def _merge(first: _Earlier, second: _Earlier) -> _Earlier:
    limits = dict(second.limits)
    for organisation, other in first.limits.items():
        mine = limits.get(organisation)
        limits[organisation] = _smaller(mine, other) if mine else other
    return _Earlier(limits, second.until_s)
