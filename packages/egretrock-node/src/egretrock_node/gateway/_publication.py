"""What the platform publishes, as the request path uses it."""

from collections.abc import Mapping
from typing import Protocol

from egretrock.coordination.directory import Directory
from egretrock.state.config import (
    Organisation,
    PublishedConfig,
    Target,
    usable_target,
)
from egretrock.state.ids import OrganisationId, ServiceId, TargetId
from egretrock_node.gateway._ports import Published


class Translator(Protocol):
    """Reads entries in the terms of the platform."""

    def translate(self, entries: Mapping[str, bytes]) -> Published | None:
        """Returns what the entries say, or None without a configuration."""
        ...


class Publication:
    """The configuration in force; it implements ``FleetPort``.

    Args:
        directory: Entries that the platform publishes.
        translator: Reads them.
    """

    def __init__(self, directory: Directory, translator: Translator) -> None:
        self._directory = directory
        self._translator = translator
        self._generation = -1
        self._config: PublishedConfig | None = None
        self._usable: dict[ServiceId, dict[TargetId, Target]] = {}

    def refresh(self) -> Published | None:
        """Takes what has changed into use.

        Returns:
            What is in force now, or None where nothing has changed or
            nothing is known.
        """
        if self._generation == self._directory.generation:
            return None
        self._generation = self._directory.generation
        published = self._translator.translate(self._directory.entries())
        if published is None:
            return None
        config = self._config = published.config
        self._usable = {
            service_id: {
                target_id: target
                for target_id, target in service.targets.items()
                if usable_target(config, service_id, target_id) is not None
            }
            for service_id, service in config.services.items()
        }
        return published

    # FleetPort.

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether requests may be served; an outage is no reason."""
        del now_s
        return self._config is not None

    def is_ready(self, now_s: float) -> bool:
        """Returns whether requests may be served."""
        return self.is_fresh(now_s)

    def config(self) -> PublishedConfig | None:
        """Returns the configuration in force."""
        return self._config

    # What the parts ask.

    @property
    def usable_count(self) -> int:
        """Number of targets that take work."""
        return sum(map(len, self._usable.values()))

    def usable_targets(self, service: ServiceId) -> Mapping[TargetId, Target]:
        """Returns the targets of a service that take work."""
        return self._usable.get(service, {})

    def target_of(
        self, service: ServiceId, target: TargetId
    ) -> tuple[Target, str] | None:
        """Returns a target and the path of its health, or None."""
        if self._config is None:
            return None
        entry = self._config.services.get(service)
        found = None if entry is None else entry.targets.get(target)
        return None if found is None else (found, entry.health_path)

    def organisation_of(
        self, organisation: OrganisationId
    ) -> Organisation | None:
        """Returns the limits of an organisation, or None."""
        if self._config is None:
            return None
        return self._config.organisations.get(organisation)

    def rate_of(self, organisation: OrganisationId) -> float:
        """Returns the rate of an organisation; 1 where it is not known."""
        entry = self.organisation_of(organisation)
        return 1.0 if entry is None else entry.rate_per_s
