"""The configuration by which requests are currently served."""

import random
from collections.abc import Sequence

from egretrock.state.config import (
    DataCentreState,
    PublishedConfig,
    usable_target,
)
from egretrock.state.ids import DataCentreId, ServiceId, TargetId
from egretrock_node.protocol.http import Routing


class ConfigInForce:
    """Routes and targets of the newest configuration.

    Args:
        data_centre: Data centre of the node.
        rng: Source of the first service of each route with weights.

    Attributes:
        routing: Routes and keys, or None before the first configuration.
        out_since_s: When this node saw its data centre taken out of service,
            or None while the data centre is in service.
    """

    def __init__(self, data_centre: DataCentreId, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self.routing: Routing | None = None
        self.out_since_s: float | None = None
        self._targets_at: dict[str, list[tuple[ServiceId, TargetId]]] = {}

    def update(self, config: PublishedConfig, now_s: float) -> bool:
        """Switches to a configuration; returns whether it has changed."""
        if self.routing is not None and self.routing.config is config:
            return False
        self.routing = Routing(config, self._rng, self.routing)
        own = config.data_centres.get(self._data_centre)
        if own is None or own.state is DataCentreState.IN:
            self.out_since_s = None
        elif self.out_since_s is None:
            self.out_since_s = now_s
        self._targets_at = {}
        for service_id, service in config.services.items():
            for target_id, target in service.targets.items():
                at_address = self._targets_at.setdefault(target.address, [])
                at_address.append((service_id, target_id))
        return True

    def targets_at(self, address: str) -> Sequence[tuple[ServiceId, TargetId]]:
        """Returns the targets that are published at an address."""
        return self._targets_at.get(address, ())

    def is_usable(self, service: ServiceId, target_id: TargetId) -> bool:
        """Returns whether a target is listed and in service."""
        config = self.routing.config
        return usable_target(config, service, target_id) is not None

    def has_address(
        self, service: ServiceId, target_id: TargetId, address: str
    ) -> bool:
        """Returns whether a target is still published at an address."""
        entry = self.routing.config.services.get(service)
        target = entry and entry.targets.get(target_id)
        return target is not None and target.address == address

    def has_other_target(
        self, service: ServiceId, excluded: frozenset[TargetId]
    ) -> bool:
        """Returns whether a service has a target that is not excluded."""
        entry = self.routing.config.services.get(service)
        return entry is not None and any(
            target not in excluded for target in entry.targets
        )
