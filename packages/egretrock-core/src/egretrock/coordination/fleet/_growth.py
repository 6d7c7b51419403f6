"""Limits that decrease at once and increase after a delay."""

import msgspec

from egretrock.state.config import Organisation, PublishedConfig
from egretrock.state.ids import OrganisationId

#: Number of replaced limits that are kept; beyond it the oldest two are
#: merged.
_MAX_REPLACED_LIMITS = 16


class OrganisationLimits(msgspec.Struct, frozen=True):
    """Limits of one organisation over the whole fleet.

    Attributes:
        rate_per_s: Requests per second.
        burst: Requests admitted at once after a pause.
    """

    rate_per_s: float
    burst: float


class _ReplacedLimits(msgspec.Struct, frozen=True):
    limits: dict[OrganisationId, OrganisationLimits]
    until_s: float


class LimitHistory:
    """Limits in force, and replaced limits that still restrict them.

    Args:
        increase_delay_s: Seconds after which a larger limit may be used.
    """

    def __init__(self, increase_delay_s: float) -> None:
        self._increase_delay_s = increase_delay_s
        self._current: dict[OrganisationId, OrganisationLimits] = {}
        self._replaced: list[_ReplacedLimits] = []

    def adopt(self, config: PublishedConfig, now_s: float) -> None:
        """Puts the limits of an accepted configuration in force."""
        replaced = [e for e in self._replaced if now_s < e.until_s]
        if self._current:
            replaced.append(
                _ReplacedLimits(self._current, now_s + self._increase_delay_s)
            )
        if len(replaced) > _MAX_REPLACED_LIMITS:
            first, second, *rest = replaced
            replaced = [_merge(first, second), *rest]
        self._replaced = replaced
        self._current = {
            organisation: _limits_of(entry)
            for organisation, entry in config.organisations.items()
        }

    def usable(
        self, organisation: OrganisationId, now_s: float
    ) -> OrganisationLimits | None:
        """Returns the smallest limits that are still valid; None if unknown."""
        limits = self._current.get(organisation)
        if limits is None:
            return None
        for replaced in self._replaced:
            replaced_limits = replaced.limits.get(organisation)
            if replaced_limits is not None and now_s < replaced.until_s:
                limits = _smaller(limits, replaced_limits)
        return limits


def _limits_of(entry: Organisation) -> OrganisationLimits:
    return OrganisationLimits(entry.rate_per_s, entry.burst)


def _smaller(
    first: OrganisationLimits, second: OrganisationLimits
) -> OrganisationLimits:
    return OrganisationLimits(
        min(first.rate_per_s, second.rate_per_s), min(first.burst, second.burst)
    )


def _merge(first: _ReplacedLimits, second: _ReplacedLimits) -> _ReplacedLimits:
    limits = dict(second.limits)
    for organisation, replaced_limits in first.limits.items():
        newer_limits = limits.get(organisation)
        limits[organisation] = (
            _smaller(newer_limits, replaced_limits)
            if newer_limits
            else replaced_limits
        )
    return _ReplacedLimits(limits, second.until_s)
