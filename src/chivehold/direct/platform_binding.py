"""The parts of a platform's adapter that an entry without sidecars uses."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result

from chivehold.core.direct.messages import Dialect, UpstreamRecord
from chivehold.core.direct.routes import RouteTable
from chivehold.http_client import HttpClient
from chivehold.store.api import ObjectStore


class PlatformBinding(NamedTuple):
    """The wire format, the client of the store, and the kinds of objects to follow in it."""

    dialect: Dialect
    open_store: Callable[[str, HttpClient], ObjectStore]
    """Creates the client of the store at an address."""
    configuration_kind: str
    decode_configuration: Callable[[str, bytes], Result[RouteTable, str]]
    upstream_kind: str
    decode_upstream: Callable[[str, bytes], Result[UpstreamRecord, str]]
