"""Checks the list of organisations in a configuration.

A fault in one organisation must not make the whole configuration unusable: the entry would then
keep keys that have been removed from another organisation, or would never start to serve. What is
unusable is therefore left out, reported as a fault, and never makes a request need no key.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple
from unicodedata import category

from chivehold.core.direct.organisations import (
    KeyDigest,
    Organisation,
    Quota,
    QuotaUnit,
    digest_key,
)

MAX_NAME_BYTES = 256
"""A longer name is not passed on in a header."""
MAX_AMOUNT = 1e12
"""Largest rate, burst or cost; anything above is unusable."""


class DeclaredOrganisation(NamedTuple):
    """An organisation as read from a configuration, before its fields have been checked."""

    name: object = None
    keys: object = None
    priority: object = None
    rate: object = None
    burst: object = None
    default_tokens: object = None
    unit: QuotaUnit = QuotaUnit.REQUESTS


class OrganisationFault(NamedTuple):
    """What is unusable in a declared organisation; it contains no API key."""

    organisation: str
    """The name of the organisation, or its position in the list if it has no usable name."""
    detail: str


class OrganisationList(NamedTuple):
    """The organisations that can be used, and what was left out."""

    organisations: tuple[Organisation, ...]
    faults: tuple[OrganisationFault, ...]


def check_organisations(declared: Iterable[DeclaredOrganisation]) -> OrganisationList:
    """Return the usable organisations and the faults of the others.

    Of several organisations with one name the first counts and gets the keys of all. A key that
    several organisations hold belongs to the first of them.
    """
    usable: dict[str, Organisation] = {}
    holders: dict[KeyDigest, str] = {}
    faults: list[OrganisationFault] = []
    for position, item in enumerate(declared):
        name = item.name
        if not isinstance(name, str) or not is_usable_name(name):
            faults.append(OrganisationFault(f"#{position}", "its name is unusable"))
            continue
        checked = _CheckedFields(item)
        if name in usable:
            checked.faults.append("its name is repeated")
        digests = {digest for digest in checked.digests if holders.setdefault(digest, name) == name}
        if len(digests) < len(checked.digests):
            checked.faults.append("another organisation holds one of its keys")
        first = usable.get(name, Organisation(name, frozenset(), checked.priority, checked.quota))
        usable[name] = first._replace(key_digests=first.key_digests | digests)
        faults += (OrganisationFault(name, detail) for detail in checked.faults)
    return OrganisationList(tuple(usable.values()), tuple(faults))


def is_usable_name(name: str) -> bool:
    """Return whether a name can be passed on in a header and arrives unchanged."""
    return (
        0 < len(name.encode()) <= MAX_NAME_BYTES
        and name == name.strip()
        and not any(category(character) == "Cc" for character in name)
    )


class _CheckedFields:
    """The usable fields of a declared organisation."""

    def __init__(self, declared: DeclaredOrganisation) -> None:
        self.faults: list[str] = []
        self.digests = frozenset(self._check_keys(declared.keys))
        self.priority = self._check_priority(declared.priority)
        self.quota = self._check_quota(declared)

    def _check_keys(self, keys: object) -> Iterator[KeyDigest]:
        if keys is not None and not isinstance(keys, list):
            self.faults.append("its keys are no list")
            return
        for key in keys or ():
            digest = digest_key(key.encode()) if isinstance(key, str) else None
            if digest is None:
                self.faults.append("one of its keys is unusable")
            else:
                yield digest

    def _check_priority(self, priority: object) -> int | None:
        amount = self._check_amount("priority", priority)
        if amount is not None and not amount.is_integer():
            self.faults.append("its priority is unusable")
            return None
        return None if amount is None else int(amount)

    def _check_quota(self, declared: DeclaredOrganisation) -> Quota | None:
        rate = self._check_amount("rate", declared.rate) or 0.0
        burst = self._check_amount("burst", declared.burst) or 0.0
        default_tokens = self._check_amount("default cost", declared.default_tokens) or 0.0
        if rate <= 0:
            return None
        return Quota(rate, burst, declared.unit, int(default_tokens))

    def _check_amount(self, field: str, value: object) -> float | None:
        if value is None:
            return None
        if (
            not isinstance(value, bool)
            and isinstance(value, int | float)
            and 0 <= value <= MAX_AMOUNT
        ):
            return float(value)
        self.faults.append(f"its {field} is unusable")
        return None
