"""Checks of the framing and the head of a request."""

import re

import msgspec
from expression import Error, Ok, Result

from egretrock.state.outcome import Refusal, RefusalCode, RunState
from egretrock_node.protocol.http._headers import (
    HeaderList,
    header_values,
    split_tokens,
)

#: Maximum digits of a Content-Length; larger values may overflow 64 bits.
MAX_LENGTH_DIGITS = 18
_REQUEST_TARGET = re.compile(rb"[\x21-\x7e]+")
_ABSOLUTE_FORM = re.compile(rb"https?://([^/?#]+)", re.IGNORECASE)
_HOST = re.compile(rb"[A-Za-z0-9._~!$&'()*+,;=%:\[\]-]*")
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class RequestHead(msgspec.Struct):
    """The head of a request whose framing is valid.

    Attributes:
        method: Method, in the case received.
        path: Raw path, starting with ``/``.
        query: Raw query without the ``?``, or None.
        headers: Fields, names in lower case.
        content_length: Bytes of the body, or None where it is chunked.
        expects_continue: Whether the caller waits for 100 Continue.
    """

    method: bytes
    path: bytes
    query: bytes | None
    headers: HeaderList
    content_length: int | None
    expects_continue: bool = False


def head_line_error(line: bytes) -> str | None:
    """Returns the error in one line of a head, or None for a valid line.

    Args:
        line: The line without its CRLF.

    Example:
        >>> head_line_error(b"Host: a")
        >>> head_line_error(b" folded")
        'obsolete line folding'
    """
    if line[:1] in (b" ", b"\t"):
        return "obsolete line folding"
    if _CONTROL_CHARACTER.search(line):
        return "a control character (bare CR or LF, NUL) in the head"
    return None


def bad_request(message: str) -> Refusal:
    """Returns the refusal of a malformed request."""
    return Refusal(RefusalCode.BAD_REQUEST, RunState.NOT_RUN, message)


def check_head(
    method: bytes,
    request_target: bytes,
    version: bytes,
    headers: HeaderList,
    content_length: int | None,
) -> Result[RequestHead, Refusal]:
    """Checks a head whose lines are valid, and splits its request target.

    Args:
        method: Method of the request line.
        request_target: Request target; origin form or absolute form.
        version: ``HTTP/1.0`` or ``HTTP/1.1``.
        headers: Fields, names in lower case.
        content_length: Bytes of the body, or None where it is chunked.
    """
    hosts = header_values(headers, b"host")
    if len(hosts) > 1:
        return Error(bad_request("Host given more than once"))
    if not hosts and version == b"HTTP/1.1":
        return Error(bad_request("Host missing"))
    if hosts and not _HOST.fullmatch(hosts[0]):
        return Error(bad_request("Host is not a host and port"))
    if content_length is None and version != b"HTTP/1.1":
        return Error(bad_request("Transfer-Encoding needs HTTP/1.1"))
    if not _REQUEST_TARGET.fullmatch(request_target) or b"#" in request_target:
        return Error(bad_request("malformed request target"))
    if not request_target.startswith(b"/"):
        absolute = _ABSOLUTE_FORM.match(request_target)
        if absolute is None:
            message = "the request target must be a path or an absolute URI"
            return Error(bad_request(message))
        # RFC 9112 section 3.2.2: the authority of the URI replaces Host.
        rest = request_target[absolute.end() :]
        request_target = rest if rest.startswith(b"/") else b"/" + rest
        headers = [f for f in headers if f[0] != b"host"]
        headers.insert(0, (b"host", absolute.group(1)))
    elif not hosts:
        # HTTP/1.0 needs no Host, but the HTTP/1.1 request to the target does.
        headers = [(b"host", b"localhost"), *headers]
    expects = header_values(headers, b"expect")
    expects_continue = False
    if expects:
        if split_tokens(expects) != [b"100-continue"]:
            return Error(bad_request("Expect must be 100-continue"))
        expects_continue = version == b"HTTP/1.1" and content_length != 0
    path, separator, query = request_target.partition(b"?")
    return Ok(
        RequestHead(
            method,
            path,
            query if separator else None,
            headers,
            content_length,
            expects_continue,
        )
    )


def is_persistent(version: bytes, headers: HeaderList) -> bool:
    """Returns whether the connection stays open after this message."""
    if version != b"HTTP/1.1":
        return False
    values = header_values(headers, b"connection")
    return not values or b"close" not in split_tokens(values)


def keep_alive_s(headers: HeaderList) -> float | None:
    """Returns for how long the sender keeps an idle connection.

    Args:
        headers: Fields of an answer.

    Returns:
        Seconds, or None if the answer does not say so in a readable form.
        Source: ``Keep-Alive``, RFC 2068 section 19.7.1.1.

    Example:
        >>> keep_alive_s([(b"keep-alive", b"timeout=5, max=100")])
        5.0
    """
    for item in split_tokens(header_values(headers, b"keep-alive")):
        name, _, value = item.partition(b"=")
        if name.strip() != b"timeout":
            continue
        digits = value.strip()
        if digits.isdigit() and len(digits) <= MAX_LENGTH_DIGITS:
            return float(digits)
    return None
