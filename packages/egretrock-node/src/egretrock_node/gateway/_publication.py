"""The published configuration, as the request path uses it."""

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
from egretrock_node.gateway._ports import PublishedState


class EntryDecoder(Protocol):
    """Decodes the entries that the platform publishes."""

    def decode_entries(
        self, entries: Mapping[str, bytes]
    ) -> PublishedState | None:
        """Returns the decoded entries, or None without a configuration."""
        ...


class ConfigView:
    """The configuration in force; it implements ``FleetPort``.

    Args:
        directory: Entries that the platform publishes.
        decoder: Decodes the entries.
    """

    def __init__(self, directory: Directory, decoder: EntryDecoder) -> None:
        self._directory = directory
        self._decoder = decoder
        self._generation = -1
        self._config: PublishedConfig | None = None
        self._usable_targets: dict[ServiceId, dict[TargetId, Target]] = {}
        self._timed_services: frozenset[ServiceId] | None = None

    def refresh(self) -> PublishedState | None:
        """Applies the entries of the directory if they changed.

        Returns:
            The entries that are now in force, or None if nothing changed or no
            configuration is known.
        """
        if self._generation == self._directory.generation:
            return None
        generation = self._directory.generation
        published = self._decoder.decode_entries(self._directory.entries())
        # Only now: after an exception the next call tries again.
        self._generation = generation
        if published is None:
            return None
        config = self._config = published.config
        self._usable_targets = {
            service_id: {
                target_id: target
                for target_id, target in service.targets.items()
                if usable_target(config, service_id, target_id) is not None
            }
            for service_id, service in config.services.items()
        }
        self._timed_services = None
        return published

    def has_target_latency(self, service: ServiceId) -> bool:
        """Returns whether a route to a service has a target latency."""
        if self._config is None:
            return False
        if self._timed_services is None:
            self._timed_services = frozenset(
                service_id
                for route in self._config.routes.values()
                if route.target_latency_ms is not None
                for service_id in (route.service, *route.weights)
            )
        return service in self._timed_services

    # Methods of FleetPort.

    def is_fresh(self, now_s: float) -> bool:
        """Returns whether a configuration is known.

        A gateway serves with entries of any age, also during an outage.
        """
        del now_s
        return self._config is not None

    def is_ready(self, now_s: float) -> bool:
        """Returns whether a configuration is known."""
        return self.is_fresh(now_s)

    def config(self) -> PublishedConfig | None:
        """Returns the configuration in force."""
        return self._config

    # Lookups for the coordination parts.

    @property
    def usable_count(self) -> int:
        """Number of usable targets of all services."""
        return sum(map(len, self._usable_targets.values()))

    @property
    def min_max_connections(self) -> int | None:
        """Fewest connections that a target of any service accepts, or None."""
        services = {} if self._config is None else self._config.services
        return min(
            (
                service.max_connections
                for service in services.values()
                if service.max_connections is not None
            ),
            default=None,
        )

    def usable_targets(self, service: ServiceId) -> Mapping[TargetId, Target]:
        """Returns the usable targets of a service."""
        return self._usable_targets.get(service, {})

    def target_of(
        self, service: ServiceId, target: TargetId
    ) -> tuple[Target, str] | None:
        """Returns a target and its health path, or None if unknown."""
        if self._config is None:
            return None
        entry = self._config.services.get(service)
        result = None if entry is None else entry.targets.get(target)
        return None if result is None else (result, entry.health_path)

    def warm_up_rate_of(self, service: ServiceId) -> float | None:
        """Returns the requests per second that a cold target takes, or None."""
        if self._config is None or service not in self._config.services:
            return None
        profile = self._config.services[service].profile
        return self._config.profiles[profile].warmup.rate_per_s

    def organisation_of(
        self, organisation: OrganisationId
    ) -> Organisation | None:
        """Returns the limits of an organisation, or None if unknown."""
        if self._config is None:
            return None
        return self._config.organisations.get(organisation)

    def weight_of(self, organisation: OrganisationId) -> float:
        """Returns the weight of an organisation in the fair queue.

        It is the organisation's rate per second, or 1 if that is unknown.
        """
        entry = self.organisation_of(organisation)
        return 1.0 if entry is None else entry.rate_per_s
