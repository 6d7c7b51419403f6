"""Adapter for the callers' protocol: request options and refusals."""

import msgspec

from egretrock.state.ids import RequestId
from egretrock.state.outcome import Refusal
from egretrock_node.protocol.http._headers import HeaderList
from egretrock_node.protocol.http._refusals import (
    RefusalAnswer,
    refusal_answer,
)


class CallerOptions(msgspec.Struct, frozen=True):
    """Options that a caller sets for one request.

    Attributes:
        request_id: Id that the caller chose, or None to generate one.
        deadline_ms: Milliseconds that the caller waits, or None.
    """

    request_id: RequestId | None = None
    deadline_ms: float | None = None


_NO_OPTIONS = CallerOptions()


class CallerProtocol:
    """Default protocol: the node generates ids, profiles set the deadlines."""

    def read_options(self, headers: HeaderList) -> CallerOptions:
        """Returns the options in the head of a request."""
        del headers
        return _NO_OPTIONS

    def refuse(
        self, refusal: Refusal, request_id: RequestId | None
    ) -> RefusalAnswer:
        """Returns the answer to a refused request."""
        return refusal_answer(refusal, request_id)
