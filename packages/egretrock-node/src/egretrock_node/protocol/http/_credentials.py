"""Reads the API key of a request and removes it from the request."""

import hashlib
import re
from collections.abc import Callable
from typing import Protocol
from urllib.parse import unquote_to_bytes

import msgspec
from expression import Error, Ok, Result

from egretrock.state.outcome import Refusal
from egretrock_node.protocol.http._framing import bad_request
from egretrock_node.protocol.http._headers import HeaderList

_BEARER = re.compile(rb"\s*bearer(?:\s+(.*))?", re.IGNORECASE | re.DOTALL)
_KEY_HEADER = b"x-api-key"
_KEY_PARAMETER = b"api_key"
_MIN_KEY_BYTES = 8


class ExtractedKey(msgspec.Struct, frozen=True):
    """The API key of a request, and the request without it.

    Attributes:
        key: The key, or None where the caller sent none.
        headers: Header fields without any key.
        query: Query without any key, or None where there is no query.
    """

    key: bytes | None
    headers: HeaderList
    query: bytes | None


class Credentials(Protocol):
    """Adapter that finds the API key in a request."""

    def extract(
        self, headers: HeaderList, query: bytes | None
    ) -> Result[ExtractedKey, Refusal]:
        """Extracts and removes the key of a request."""
        ...


class KeyCredentials:
    """Keys in ``Authorization: Bearer``, ``X-Api-Key`` or ``api_key``.

    The query parameter is recognised in every percent-encoded spelling of
    its name. All forms are removed, also where several are given.
    """

    def extract(
        self, headers: HeaderList, query: bytes | None
    ) -> Result[ExtractedKey, Refusal]:
        """Extracts and removes the key of a request.

        Returns:
            The request without its key, or a refusal where two different
            keys are given.
        """
        keys: list[bytes] = []
        kept = []
        for field in headers:
            name = field[0]
            if name.replace(b"_", b"-") == _KEY_HEADER:
                keys.append(field[1].strip())
                continue
            if name == b"authorization":
                bearer = _BEARER.fullmatch(field[1])
                if bearer:
                    keys.append((bearer.group(1) or b"").strip())
                    continue
            kept.append(field)
        # A query without "_" and escapes cannot contain the name in any
        # spelling.
        if query is not None and (b"_" in query or b"%" in query):
            query = _strip_query(query, _key_collector(keys))
        distinct_keys = {key for key in keys if key}
        if len(distinct_keys) > 1:
            return Error(bad_request("two different keys in one request"))
        key = distinct_keys.pop() if distinct_keys else None
        # Shorter values are not valid keys, and could match parts of unrelated
        # values.
        if key is not None and len(key) >= _MIN_KEY_BYTES:
            kept = [f for f in kept if key not in f[1]]
            if query is not None and (key in query or b"%" in query):
                query = _strip_query(query, lambda _, text: key in text)
        kept = [f for f in kept if not _is_referer_with_key(f)]
        return Ok(ExtractedKey(key, kept, query or None))


def digest_key(key: bytes) -> str:
    """Returns the published form of a key: SHA-256 in lower-case hex.

    Example:
        >>> digest_key(b"key")[:8]
        '2c70e12b'
    """
    return hashlib.sha256(key).hexdigest()


def path_contains_key(key: bytes, path: bytes) -> bool:
    """Returns whether a path contains the key, in any percent-encoding.

    Example:
        >>> path_contains_key(b"secret-key", b"/a/secret%2Dkey")
        True
    """
    if len(key) < _MIN_KEY_BYTES:
        return False
    return key in path or (b"%" in path and key in unquote_to_bytes(path))


def _key_collector(keys: list[bytes]) -> Callable[[bytes, bytes], bool]:
    def is_key(name: bytes, value: bytes) -> bool:
        # Some servers treat "name[]" as one value of "name".
        if name.strip().lower().partition(b"[")[0] != _KEY_PARAMETER:
            return False
        keys.append(value.strip())
        return True

    return is_key


def _strip_query(
    query: bytes, is_removed: Callable[[bytes, bytes], bool]
) -> bytes:
    """Removes parameters; the others keep their spelling and order.

    Some servers split queries at ``;`` too, so a key after one is removed.

    Args:
        query: Raw query.
        is_removed: Returns whether to remove a parameter, by its decoded name
            and value.
    """
    parts = re.split(rb"([&;])", query)
    kept: list[bytes] = []
    for index in range(0, len(parts), 2):
        name, _, value = parts[index].partition(b"=")
        if is_removed(_decode(name), _decode(value)):
            continue
        if kept:
            kept.append(parts[index - 1])
        kept.append(parts[index])
    return b"".join(kept)


def _decode(text: bytes) -> bytes:
    if b"%" not in text and b"+" not in text:
        return text
    return unquote_to_bytes(text.replace(b"+", b" "))


def _is_referer_with_key(field: tuple[bytes, bytes]) -> bool:
    """Returns whether a field is a Referer whose URL contains a key."""
    if field[0] != b"referer":
        return False
    return _KEY_PARAMETER in unquote_to_bytes(field[1]).lower()
