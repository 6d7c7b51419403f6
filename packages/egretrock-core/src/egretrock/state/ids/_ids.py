"""Identifier types; distinct types keep one kind from passing as another."""

from typing import NewType

#: Peer address of a node, ``"ip:port"``.
NodeId = NewType("NodeId", str)
#: Random 64-bit number that a process draws at its start.
Incarnation = NewType("Incarnation", int)
DataCentreId = NewType("DataCentreId", str)
OrganisationId = NewType("OrganisationId", str)
ServiceId = NewType("ServiceId", str)
#: Published name of a target; it stays the same when the target restarts.
TargetId = NewType("TargetId", str)
#: Name that a target draws at each of its starts.
InstanceId = NewType("InstanceId", str)
RouteId = NewType("RouteId", str)
ProfileName = NewType("ProfileName", str)
#: Monotonic number of a published document, at least 1.
Revision = NewType("Revision", int)
RequestId = NewType("RequestId", str)
#: Number of a waiting request, unique within a process.
TicketId = NewType("TicketId", int)
#: One try to run a request that carries an idempotency key.
AttemptId = NewType("AttemptId", str)
#: Digest that identifies equal requests.
Fingerprint = NewType("Fingerprint", str)
