"""The protocol of the targets; no other module depends on its details."""

import msgspec

from egretrock.coordination.bounds import LimitReport
from egretrock.coordination.targets import TargetCondition
from egretrock.state.ids import InstanceId, OrganisationId, RequestId
from egretrock_node.protocol.http._headers import HeaderList


class TargetHealth(msgspec.Struct, frozen=True):
    """Body of ``GET /health``."""

    instance: InstanceId
    state: TargetCondition
    uptime_s: float


class TargetLoad(msgspec.Struct, frozen=True):
    """Body of ``GET /load``."""

    instance: InstanceId
    slots: int
    in_flight: int
    queued: int


class AnswerInfo(msgspec.Struct, frozen=True):
    """Information about the target in the head of an answer.

    Attributes:
        instance: Instance that answered, or None where it is not reported.
        condition: Reported state, or None.
        not_run: Whether the target reports that it did not run the request.
        authentic: Whether the answer is proven to come from the target itself,
            for example by a signature; otherwise it is treated as damaged.
        limit: Limit on the requests of all nodes, or None if the answer does
            not tell whether the target has one.
    """

    instance: InstanceId | None
    condition: TargetCondition | None
    not_run: bool
    authentic: bool = True
    limit: LimitReport | None = None


_CONDITIONS = {c.value.encode(): c for c in TargetCondition}


class TargetProtocol:
    """Default protocol: HTTP/1.1 with header fields of the node and the target.

    Requests carry ``Egretrock-Request-Id``, ``Egretrock-Deadline-Ms`` and
    ``Egretrock-Organisation``; answers may carry ``Target-Instance``,
    ``Target-State`` and ``Target-Not-Run``.
    """

    #: Whether the end of the connection may end an answer without a length.
    allows_answers_without_length = False
    health_path = b"/health"
    load_path = b"/load"

    def request_headers(
        self,
        organisation: OrganisationId | None,
        request_id: RequestId,
        deadline_ms: int,
        instance: InstanceId | None = None,
    ) -> HeaderList:
        """Returns the header fields to add to a request for a target.

        Args:
            organisation: Owner of the key, or None on a route without keys.
            request_id: Id of the request.
            deadline_ms: Milliseconds until the deadline.
            instance: Instance that the request is intended for, if known.
        """
        del instance  # This protocol has no field for it.
        headers = [
            (b"Egretrock-Request-Id", request_id.encode()),
            (b"Egretrock-Deadline-Ms", b"%d" % max(0, deadline_ms)),
        ]
        if organisation is not None:
            headers.append((b"Egretrock-Organisation", organisation.encode()))
        return headers

    def read_answer(self, status: int, headers: HeaderList) -> AnswerInfo:
        """Returns the information about the target in the head of an answer."""
        instance = condition = None
        not_run = False
        for name, value in headers:
            if name == b"target-instance":
                instance = InstanceId(value.decode("latin-1"))
            elif name == b"target-state":
                condition = _CONDITIONS.get(value.strip().lower())
            elif name == b"target-not-run":
                not_run = status == 503 and value.strip() == b"1"
        return AnswerInfo(instance, condition, not_run)

    def passes_to_caller(self, name: bytes) -> bool:
        """Returns whether a reserved field of an answer goes to the caller.

        Args:
            name: Name in lower case.
        """
        del name
        return False

    def is_answer_to(
        self, status: int, headers: HeaderList, request_id: bytes
    ) -> bool:
        """Returns whether an answer belongs to the waiting request.

        Args:
            status: Status of the answer.
            headers: Fields of the answer.
            request_id: Id of the waiting request; empty for the node's own
                requests, such as probes.
        """
        del status, headers, request_id
        return True

    def cancel_request(
        self, request_id: RequestId
    ) -> tuple[bytes, bytes] | None:
        """Returns the method and path of the call that cancels a request.

        None means that only closing the connection cancels it.
        """
        return b"DELETE", b"/requests/" + request_id.encode()

    def read_health(self, body: bytes) -> TargetHealth:
        """Decodes the body of ``GET /health``.

        Raises:
            msgspec.MsgspecError: If the body is malformed.
        """
        return msgspec.json.decode(body, type=TargetHealth)

    def read_load(self, body: bytes) -> TargetLoad:
        """Decodes the body of ``GET /load``.

        Raises:
            msgspec.MsgspecError: If the body is malformed.
        """
        return msgspec.json.decode(body, type=TargetLoad)
