"""Collects the status of a node for operators."""

from typing import TYPE_CHECKING

from egretrock import __version__
from egretrock.coordination.base import PARTITION_COUNT, partition_of
from egretrock.coordination.fleet import DocumentName
from egretrock.coordination.limits import ORGANISATION_HOME_KIND
from egretrock_node.protocol.status import (
    DocumentStatus,
    NodeStatus,
    OrganisationStatus,
    PeerStatus,
    TargetStatus,
)

if TYPE_CHECKING:
    from egretrock_node.daemon._node import Node


class StatusReporter:
    """Builds the status from the components of a node.

    Args:
        node: The node.
    """

    def __init__(self, node: "Node") -> None:
        self._node = node

    def status(self) -> NodeStatus:
        """Returns the current status."""
        node = self._node
        now_s = node.clock()
        reasons = node.not_ready_reasons()
        fleet = node.fleet
        return NodeStatus(
            node=node.peer.node,
            data_centre=node.settings.node.data_centre,
            incarnation=node.peer.incarnation,
            version=__version__,
            ready=not reasons,
            not_ready_reasons=reasons,
            fresh=fleet.is_fresh(now_s),
            draining=node.draining.is_draining,
            uptime_s=now_s - node.started_s,
            in_flight=node.pipeline.in_flight_count,
            config=self._document(DocumentName.CONFIG),
            vms=self._document(DocumentName.VMS),
            peers=self._peers(now_s),
            partitions_held=[
                p for p in range(PARTITION_COUNT) if fleet.holds(p, now_s)
            ],
            organisations=self._organisations(now_s),
            targets=self._targets(now_s),
            counters=node.counters.totals(),
            gauges=node.counters.gauges(),
        )

    def _document(self, name: DocumentName) -> DocumentStatus:
        fleet = self._node.fleet
        documents = fleet.status(self._node.clock()).documents
        entry = next(d for d in documents if d.name == name.value)
        findings = fleet.findings(name)
        return DocumentStatus(
            revision=entry.revision or None,
            refused_revision=entry.seen if findings else None,
            findings=findings,
        )

    def _peers(self, now_s: float) -> list[PeerStatus]:
        vms = self._node.fleet.vms()
        if vms is None:
            return []
        alive = self._node.fleet.alive_nodes(now_s)
        return [
            PeerStatus(name, vm.data_centre, name in alive)
            for name, vm in sorted(vms.vms.items())
            if name != self._node.peer.node
        ]

    def _organisations(self, now_s: float) -> list[OrganisationStatus]:
        fleet = self._node.fleet
        config = fleet.config()
        if config is None:
            return []
        entries = []
        for name in sorted(config.organisations):
            limits = fleet.usable_limits(name, now_s)
            if limits is None:
                continue
            home = fleet.preferred_home(ORGANISATION_HOME_KIND, name, now_s)
            entries.append(
                OrganisationStatus(name, limits.rate_per_s, limits.burst, home)
            )
        return entries

    def _targets(self, now_s: float) -> list[TargetStatus]:
        fleet, client = self._node.fleet, self._node.targets.client
        config = fleet.config()
        if config is None:
            return []
        entries = []
        for service, service_config in sorted(config.services.items()):
            partition = partition_of("service", service)
            home = fleet.partition_holder(partition, now_s)
            summaries = client.last_summary(service, now_s)
            counts = client.permits_in_use(service)
            for name, target in sorted(service_config.targets.items()):
                summary = summaries.get(name)
                state = summary.trust.name.lower() if summary else "unknown"
                entries.append(
                    TargetStatus(
                        service,
                        name,
                        target.data_centre,
                        home,
                        counts.get(name, 0),
                        state,
                    )
                )
        return entries
