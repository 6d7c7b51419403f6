"""Blocking HTTP client for control endpoints and single requests."""

import http.client
import json
from typing import Any, NamedTuple

CALL_TIMEOUT_S = 10.0


class Answer(NamedTuple):
    """Answer to one request."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body."""
        return json.loads(self.body)


class Connection:
    """A persistent connection, used for one request after another."""

    def __init__(self, address: str, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._http = http.client.HTTPConnection(address, timeout=timeout_s)
        # Otherwise http.client silently reconnects.
        self._http.auto_open = 0
        self._http.connect()

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> Answer:
        """Sends a request and reads the whole answer.

        Raises:
            OSError: The connection failed.
            http.client.HTTPException: The answer was malformed or incomplete.
        """
        self.write_request(method, path, headers, body)
        return self.read_answer()

    def write_request(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
    ) -> None:
        """Sends a request without waiting for its answer."""
        self._http.request(method, path, body=body, headers=headers or {})

    def read_answer(self) -> Answer:
        """Reads the answer to the request sent by ``write_request``."""
        response = self._http.getresponse()
        fields = {name.lower(): v for name, v in response.getheaders()}
        return Answer(response.status, fields, response.read())

    def close(self) -> None:
        """Closes the connection."""
        self._http.close()

    def __enter__(self) -> "Connection":
        """Returns the open connection."""
        return self

    def __exit__(self, *_: object) -> None:
        """Closes the connection."""
        self.close()


def send_request(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Answer:
    """Sends one request on a new connection."""
    with Connection(address, timeout_s) as connection:
        return connection.send(method, path, headers, body)


class ControlCallError(Exception):
    """A control endpoint answered with a status other than 200."""


def call_control(
    address: str, method: str, path: str, value: Any = None
) -> Any:
    """Calls a control endpoint of a stand-in; returns the JSON answer."""
    body = None if value is None else json.dumps(value).encode()
    answer = send_request(address, method, path, body=body)
    if answer.status != 200:
        raise ControlCallError(f"{method} {path}: {answer.body.decode()}")
    return answer.json()
