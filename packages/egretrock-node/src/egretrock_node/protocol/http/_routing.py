"""Lookup of routes and keys in the configuration in force."""

import bisect
import operator
import random
import re
from urllib.parse import unquote_to_bytes

import msgspec
from expression import Error, Ok, Result
from msgspec.structs import replace

from egretrock.coordination.shares import WeightedRotation
from egretrock.state.config import Profile, PublishedConfig, Route
from egretrock.state.ids import OrganisationId, RouteId, ServiceId
from egretrock.state.outcome import Refusal, RefusalCode, RunState
from egretrock_node.protocol.http._framing import bad_request

_PERCENT_ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
_UNRESERVED = frozenset(
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
)
_REPEATED_SLASH = re.compile(rb"/{2,}")


class RouteMatch(msgspec.Struct, frozen=True):
    """The route of a request and the profile of its service."""

    id: RouteId
    route: Route
    profile: Profile


class _WeightedRoute:
    """A route and the services among which it distributes its requests.

    Args:
        route_id: Name of the route.
        route: Route.
        config: Configuration that has the route.
        rotation: Division of the requests among the services.
    """

    def __init__(
        self,
        route_id: RouteId,
        route: Route,
        config: PublishedConfig,
        rotation: WeightedRotation[ServiceId],
    ) -> None:
        self.route = route
        self.rotation = rotation
        # Created once, because creating a Result takes 4 µs.
        self._results: dict[ServiceId, Result[RouteMatch, Refusal]] = {}
        for service in _weights_of(route):
            profile = config.profiles[config.services[service].profile]
            if route.timeout_ms is not None:
                deadline_ms = min(route.timeout_ms, profile.deadline_ms)
                profile = replace(profile, deadline_ms=deadline_ms)
            service_route = replace(route, service=service)
            match = RouteMatch(route_id, service_route, profile)
            self._results[service] = Ok(match)

    def next_match(self) -> Result[RouteMatch, Refusal]:
        """Returns the match for the service of the next request."""
        return self._results[self.rotation.choose()]


class _PrefixTable:
    """Routes by the prefix of their path.

    A lookup tries each length of the published prefixes once, so its time does
    not depend on the number of segments in a path.

    Args:
        ends_with_slash: Whether the prefixes end with the slash that follows
            them.
    """

    def __init__(self, ends_with_slash: bool) -> None:
        self._ends_with_slash = ends_with_slash
        self._by_prefix: dict[bytes, list[_WeightedRoute]] = {}
        self._lengths: list[int] = []

    def add(self, prefix: bytes, route: _WeightedRoute) -> None:
        """Adds a route."""
        self._by_prefix.setdefault(prefix, []).append(route)
        if len(prefix) not in self._lengths:
            bisect.insort(self._lengths, len(prefix), key=operator.neg)

    def find_longest(self, path: bytes) -> list[_WeightedRoute] | None:
        """Returns the routes with the longest prefix of whole segments."""
        for length in self._lengths:
            if self._ends_with_slash:
                is_boundary = path[length - 1 : length] == b"/"
            else:
                is_boundary = path[length : length + 1] in (b"", b"/")
            if not is_boundary:
                continue
            routes = self._by_prefix.get(path[:length])
            if routes is not None:
                return routes
        return None


class Routing:
    """Lookup of routes and keys in one published configuration.

    Args:
        config: Configuration.
        rng: Source of the first service of each route with weights.
        previous: Lookup that this one replaces. Routes whose weights are
            unchanged go on with the division of their requests.
    """

    def __init__(
        self,
        config: PublishedConfig,
        rng: random.Random,
        previous: "Routing | None" = None,
    ) -> None:
        self.config = config
        self._all_hosts = _PrefixTable(ends_with_slash=False)
        self._by_host: dict[bytes, _PrefixTable] = {}
        self._routes: dict[RouteId, _WeightedRoute] = {}
        for route_id, route in config.routes.items():
            rotation = None
            if previous is not None:
                rotation = previous._rotation_of(route_id, route)
            if rotation is None:
                rotation = WeightedRotation(_weights_of(route), rng)
            candidate = _WeightedRoute(route_id, route, config, rotation)
            self._routes[route_id] = candidate
            if route.host:
                prefix = route.path_prefix.encode()
                host = route.host.lower().encode()
                table = self._by_host.setdefault(
                    host, _PrefixTable(ends_with_slash=True)
                )
            else:
                prefix = route.path_prefix.rstrip("/").encode()
                table = self._all_hosts
            table.add(prefix, candidate)

    def organisation_of(self, digest: str) -> OrganisationId | None:
        """Returns the owner of a published key, or None if there is none."""
        return self.config.keys.get(digest)

    def match(
        self, path: bytes, method: bytes, host: bytes = b""
    ) -> Result[RouteMatch, Refusal]:
        """Returns the route with the longest prefix of whole path segments.

        Routes for the host take precedence over routes for all hosts.

        A path is refused if it matches one route as sent and another once
        decoded by a target, or if it has dot segments: otherwise a caller
        could reach a route that requires a key through one that does not.
        """
        host_table = self._by_host.get(_without_port(host))
        candidates = self._find_longest_prefix(path, host_table)
        if b"%" in path or b"//" in path or b"\\" in path or b"/." in path:
            normalised = _PERCENT_ESCAPE.sub(_decode_unreserved, path)
            candidates = self._find_longest_prefix(normalised, host_table)
            decoded = unquote_to_bytes(path).replace(b"\\", b"/")
            decoded = _REPEATED_SLASH.sub(b"/", decoded)
            if any(part in (b".", b"..") for part in decoded.split(b"/")):
                return Error(bad_request("dot segment in the path"))
            found = self._find_longest_prefix(decoded, host_table)
            if found is not candidates:
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
                return candidate.next_match()
        allowed = sorted({m for c in candidates for m in c.route.methods})
        return Error(
            Refusal(
                RefusalCode.METHOD_NOT_ALLOWED,
                RunState.NOT_RUN,
                f"{name} is not allowed; allowed are {', '.join(allowed)}",
            )
        )

    def _rotation_of(
        self, route_id: RouteId, route: Route
    ) -> WeightedRotation[ServiceId] | None:
        """Returns the division of a route, or None if its weights differ."""
        known = self._routes.get(route_id)
        if known is None or _weights_of(known.route) != _weights_of(route):
            return None
        return known.rotation

    def _find_longest_prefix(
        self, path: bytes, host_table: _PrefixTable | None
    ) -> list[_WeightedRoute] | None:
        if host_table is not None:
            candidates = host_table.find_longest(path)
            if candidates is not None:
                return candidates
        return self._all_hosts.find_longest(path)


def _weights_of(route: Route) -> dict[ServiceId, int]:
    return route.weights or {route.service: 1}


def _without_port(host: bytes) -> bytes:
    return host.partition(b":")[0].lower()


def _decode_unreserved(escape: re.Match[bytes]) -> bytes:
    code = int(escape.group(1), 16)
    return bytes((code,)) if code in _UNRESERVED else escape.group(0)
