"""Plan of a fleet of processes."""

import msgspec

from egretrock.state.config import Organisation, Profile, Route
from egretrock_standins.target import TargetOptions


class PlannedTarget(msgspec.Struct, kw_only=True):
    """One stand-in target.

    Attributes:
        service: Service that it belongs to.
        data_centre: Its data centre.
        options: Its options; with port 0, the target takes a free port.
        published: Whether the first configuration lists it.
    """

    service: str
    data_centre: str
    options: TargetOptions
    published: bool = True


class FleetPlan(msgspec.Struct, kw_only=True):
    """Nodes, targets and the first configuration.

    Attributes:
        node_data_centres: One node for each entry.
        targets: Stand-in targets.
        services: Profile name by service.
        profiles: Profiles by name.
        routes: Routes by id.
        organisations: Limits by organisation; each gets one key.
        targets_per_process: Targets hosted by one process; 1 if a
            crash must end a process.
        freshness_s: Setting of the nodes.
        drain_notice_s: Setting of the nodes.
        drain_deadline_s: Setting of the nodes.
        log_level: Setting of the nodes.
    """

    node_data_centres: list[str]
    targets: list[PlannedTarget]
    services: dict[str, str]
    profiles: dict[str, Profile]
    routes: dict[str, Route]
    organisations: dict[str, Organisation]
    targets_per_process: int = 8
    freshness_s: float = 4.0
    drain_notice_s: float = 1.0
    drain_deadline_s: float = 20.0
    log_level: str = "info"

    @property
    def data_centres(self) -> list[str]:
        """Returns the sorted names of all data centres."""
        names = set(self.node_data_centres)
        names.update(target.data_centre for target in self.targets)
        return sorted(names)
