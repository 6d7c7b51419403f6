"""Identifier types, distinct so that a type checker finds mix-ups."""

from typing import NewType

#: Peer address of a node, ``"ip:port"``.
NodeId = NewType("NodeId", str)
#: Random 64-bit number that a process chooses at its start.
Incarnation = NewType("Incarnation", int)
DataCentreId = NewType("DataCentreId", str)
OrganisationId = NewType("OrganisationId", str)
ServiceId = NewType("ServiceId", str)
#: Published name of a target; it stays the same when the target restarts.
TargetId = NewType("TargetId", str)
#: Name that a target chooses anew at each start.
InstanceId = NewType("InstanceId", str)
RouteId = NewType("RouteId", str)
ProfileName = NewType("ProfileName", str)
#: Number of a published document, at least 1; it only increases.
Revision = NewType("Revision", int)
RequestId = NewType("RequestId", str)
#: Number of a waiting request, unique within a process.
TicketId = NewType("TicketId", int)
#: One attempt to run a request that carries an idempotency key.
AttemptId = NewType("AttemptId", str)
#: Digest that is the same for equal requests.
Fingerprint = NewType("Fingerprint", str)
