"""Routes and keys of the configuration in force, prepared for look-up."""

import re
from urllib.parse import unquote_to_bytes

import msgspec
from expression import Error, Ok, Result

from egretrock.state.config import Profile, PublishedConfig, Route
from egretrock.state.ids import OrganisationId, RouteId
from egretrock.state.outcome import Refusal, RefusalCode, RunState
from egretrock_node.protocol.http._framing import bad_request

_ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
_UNRESERVED = frozenset(
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
)
_REPEATED_SLASH = re.compile(rb"/{2,}")


class RouteMatch(msgspec.Struct, frozen=True):
    """The route of a request and the profile of its service."""

    id: RouteId
    route: Route
    profile: Profile


class _Candidate(msgspec.Struct, frozen=True):
    """A route; a Result costs 4 µs to make, so it is made once."""

    route: Route
    found: Result[RouteMatch, Refusal]


class Routing:
    """Look-up of routes and keys of one published configuration."""

    def __init__(self, config: PublishedConfig) -> None:
        self.config = config
        self._by_prefix: dict[bytes, list[_Candidate]] = {}
        for route_id, route in config.routes.items():
            profile = config.profiles[config.services[route.service].profile]
            prefix = route.path_prefix.rstrip("/").encode()
            match = _Candidate(route, Ok(RouteMatch(route_id, route, profile)))
            self._by_prefix.setdefault(prefix, []).append(match)

    def organisation_of(self, digest: str) -> OrganisationId | None:
        """Returns whose key has this digest, or None for no published key."""
        return self.config.keys.get(digest)

    def match(self, path: bytes, method: bytes) -> Result[RouteMatch, Refusal]:
        """Returns the route with the longest prefix at a segment border.

        A path that matches one route as sent and another once a target has
        decoded it is refused, as is a path with dot segments: otherwise a
        caller could reach a keyed route by way of an open one.
        """
        candidates = self._longest(path)
        if b"%" in path or b"//" in path or b"\\" in path or b"/." in path:
            plain = _ESCAPE.sub(_decode_unreserved, path)
            candidates = self._longest(plain)
            decoded = unquote_to_bytes(path).replace(b"\\", b"/")
            decoded = _REPEATED_SLASH.sub(b"/", decoded)
            if any(part in (b".", b"..") for part in decoded.split(b"/")):
                return Error(bad_request("dot segment in the path"))
            if self._longest(decoded) is not candidates:
                return Error(bad_request("the path is ambiguous when decoded"))
        if candidates is None:
            return Error(
                Refusal(
                    RefusalCode.NO_ROUTE,
                    RunState.NOT_RUN,
                    "no route has a prefix of the path",
                )
            )
        name = method.decode("ascii")
        for candidate in candidates:
            if not candidate.route.methods or name in candidate.route.methods:
                return candidate.found
        allowed = sorted({m for c in candidates for m in c.route.methods})
        return Error(
            Refusal(
                RefusalCode.METHOD_NOT_ALLOWED,
                RunState.NOT_RUN,
                f"{name} is not allowed; allowed are {', '.join(allowed)}",
            )
        )

    def _longest(self, path: bytes) -> list[_Candidate] | None:
        border = len(path)
        while border >= 0:
            found = self._by_prefix.get(path[:border])
            if found is not None:
                return found
            border = path.rfind(b"/", 0, border)
        return None


def _decode_unreserved(escape: re.Match[bytes]) -> bytes:
    code = int(escape.group(1), 16)
    return bytes((code,)) if code in _UNRESERVED else escape.group(0)
