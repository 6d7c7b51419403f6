"""HTTP client for a node's operator endpoint."""

import urllib.error
import urllib.request

import msgspec

from egretrock.state.config import is_address
from egretrock_node.protocol.status import NodeStatus

_TIMEOUT_S = 5.0
#: A status grows with the number of targets; the limit guards against an
#: address that is not a node's.
_MAX_ANSWER_BYTES = 16_000_000


class NodeError(Exception):
    """A node cannot be reached, or its answer is unusable."""


class NodeClient:
    """Sends requests to one node over HTTP.

    Args:
        address: Operator address, ``"ip:port"``.

    Raises:
        NodeError: If ``address`` is not an address.
    """

    def __init__(self, address: str) -> None:
        if not is_address(address):
            message = f"{address!r} is not an address; allowed is 'ip:port'"
            raise NodeError(message)
        self._address = address

    def status(self) -> NodeStatus:
        """Returns the node's status.

        Raises:
            NodeError: If the node cannot be reached or its answer is no status.
        """
        body = self._call("GET", "/status")
        try:
            return msgspec.json.decode(body, type=NodeStatus)
        except msgspec.MsgspecError as error:
            message = f"{self._address}: unusable status: {error}"
            raise NodeError(message) from error

    def config(self) -> bytes:
        """Returns the configuration in force as JSON; raises NodeError."""
        return self._call("GET", "/config")

    def drain(self) -> None:
        """Starts a planned stop; raises NodeError."""
        self._call("POST", "/drain")

    def _call(self, method: str, path: str) -> bytes:
        url = f"http://{self._address}{path}"
        request = urllib.request.Request(url, method=method)
        # A proxy from the environment must not see operators' requests.
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        try:
            with opener.open(request, timeout=_TIMEOUT_S) as answer:
                return answer.read(_MAX_ANSWER_BYTES)
        except urllib.error.HTTPError as error:
            text = error.read(1000).decode("utf-8", "replace").strip()
            message = f"{self._address}: HTTP {error.code}: {text}"
            raise NodeError(message) from error
        except (OSError, ValueError) as error:
            message = f"{self._address}: cannot be reached: {error}"
            raise NodeError(message) from error
