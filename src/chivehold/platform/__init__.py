"""The adapter to the users' platform: translates its names, formats and calls.

This package makes no routing decisions. It is the only place where the platform's field names
appear; each is decoded once into the product's own types.
"""

from chivehold.direct.platform_binding import PlatformBinding
from chivehold.http_client import HttpClient
from chivehold.platform.configuration import CONFIGURATION_KIND, decode_configuration
from chivehold.platform.dialect import PlatformDialect
from chivehold.platform.store import PlatformStore
from chivehold.platform.upstream_records import UPSTREAM_KIND, decode_upstream
from chivehold.store.leases import LEASE_KIND
from chivehold.store.quarantine_records import QUARANTINE_KIND
from chivehold.store.roster import ENTRY_KIND
from chivehold.store.software_records import SOFTWARE_KIND

__all__ = ["BINDING", "PlatformDialect", "PlatformStore", "decode_configuration", "decode_upstream"]


OWN_KINDS = frozenset((LEASE_KIND, ENTRY_KIND, QUARANTINE_KIND, SOFTWARE_KIND))


def _open_store(address: str, client: HttpClient) -> PlatformStore:
    return PlatformStore(address, client, own_kinds=OWN_KINDS)


BINDING = PlatformBinding(
    dialect=PlatformDialect(),
    open_store=_open_store,
    configuration_kind=CONFIGURATION_KIND,
    decode_configuration=decode_configuration,
    upstream_kind=UPSTREAM_KIND,
    decode_upstream=decode_upstream,
)
