"""The protocol that targets speak; the only place that knows its details."""

import msgspec

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


class AnswerSigns(msgspec.Struct, frozen=True):
    """What an answer tells about its target.

    Attributes:
        instance: Instance that answered, or None where it is not named.
        condition: Reported state, or None.
        not_run: Whether the target says that it did not run the request.
    """

    instance: InstanceId | None
    condition: TargetCondition | None
    not_run: bool


_CONDITIONS = {c.value.encode(): c for c in TargetCondition}


class TargetProtocol:
    """HTTP/1.1 with the header fields of design section 11."""

    health_path = b"/health"
    load_path = b"/load"

    def request_headers(
        self,
        organisation: OrganisationId | None,
        request_id: RequestId,
        deadline_ms: int,
    ) -> HeaderList:
        """Returns the fields that a request carries to a target.

        Args:
            organisation: Owner of the key, or None on an open route.
            request_id: Id of the request.
            deadline_ms: Milliseconds that remain.
        """
        headers = [
            (b"Egretrock-Request-Id", request_id.encode()),
            (b"Egretrock-Deadline-Ms", b"%d" % max(0, deadline_ms)),
        ]
        if organisation is not None:
            headers.append((b"Egretrock-Organisation", organisation.encode()))
        return headers

    def read_answer(self, status: int, headers: HeaderList) -> AnswerSigns:
        """Returns what the head of an answer tells about the target."""
        instance = condition = None
        not_run = False
        for name, value in headers:
            if name == b"target-instance":
                instance = InstanceId(value.decode("latin-1"))
            elif name == b"target-state":
                condition = _CONDITIONS.get(value.strip().lower())
            elif name == b"target-not-run":
                not_run = status == 503 and value.strip() == b"1"
        return AnswerSigns(instance, condition, not_run)

    def cancel_request(self, request_id: RequestId) -> tuple[bytes, bytes]:
        """Returns method and path that cancel a request."""
        return b"DELETE", b"/requests/" + request_id.encode()

    def read_health(self, body: bytes) -> TargetHealth:
        """Reads the body of ``GET /health``.

        Raises:
            msgspec.MsgspecError: If the body is malformed.
        """
        return msgspec.json.decode(body, type=TargetHealth)

    def read_load(self, body: bytes) -> TargetLoad:
        """Reads the body of ``GET /load``.

        Raises:
            msgspec.MsgspecError: If the body is malformed.
        """
        return msgspec.json.decode(body, type=TargetLoad)
