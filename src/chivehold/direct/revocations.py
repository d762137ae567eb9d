"""Ends requests in progress when their API key is removed, where the settings ask for it."""

from collections.abc import Iterator
from contextlib import contextmanager

import trio

from chivehold.core.direct.routes import RouteIndex
from chivehold.direct.exchange import Exchange


class WatchedRequest:
    """A request in progress.

    Args:
        exchange: The request.
        scope: Cancelled when its key is removed.
    """

    def __init__(self, exchange: Exchange, scope: trio.CancelScope) -> None:
        self._scope = scope
        self.exchange = exchange
        self.is_revoked = False

    def revoke(self) -> None:
        """End the request."""
        self.is_revoked = True
        self._scope.cancel()


class Revocations:
    """Knows the requests in progress, and ends those whose key has been removed.

    Args:
        is_strict: Whether such requests are ended; otherwise they end as they would have ended.
    """

    def __init__(self, is_strict: bool) -> None:
        self._is_strict = is_strict
        self._routes: RouteIndex | None = None
        self._watched: dict[int, WatchedRequest] = {}

    @contextmanager
    def watch(self, exchange: Exchange, scope: trio.CancelScope) -> Iterator[WatchedRequest]:
        """End a request while the context lasts if its key is removed.

        Its key may also have been removed while its body was arriving.
        """
        watched = WatchedRequest(exchange, scope)
        self._watched[id(watched)] = watched
        self._end_if_revoked(watched)
        try:
            yield watched
        finally:
            del self._watched[id(watched)]

    def apply_routes(self, routes: RouteIndex) -> None:
        """End the requests whose keys these routes no longer accept."""
        self._routes = routes
        for watched in tuple(self._watched.values()):
            self._end_if_revoked(watched)

    def _end_if_revoked(self, watched: WatchedRequest) -> None:
        if not self._is_strict or self._routes is None:
            return
        exchange = watched.exchange
        name = exchange.organisation.name if exchange.organisation else None
        if self._routes.revokes(exchange.route, exchange.metadata.api_key, name):
            watched.revoke()
