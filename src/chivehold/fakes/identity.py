"""Checks of what an upstream learns of a request's caller."""

from collections.abc import Mapping

API_KEY_HEADER = "x-api-key"
ORGANISATION_HEADER = "x-chivehold-tenant"
KEY_MARK = "secret-"
"""Part of all API keys, by which they are found in other headers."""


def api_key(organisation: str) -> str:
    """Return the API key of an organisation, which is ASCII whatever its name."""
    return f"{KEY_MARK}{organisation.encode().hex()}"


def identity_fault(headers: Mapping[str, str], organisation: str | None) -> str | None:
    """Return what is wrong with the headers that an upstream received, or ``None``.

    Args:
        headers: The headers; names in lower case.
        organisation: The caller's organisation, if it has one.
    """
    if API_KEY_HEADER in headers or any(KEY_MARK in value for value in headers.values()):
        return "the API key has arrived"
    named = headers.get(ORGANISATION_HEADER)
    if named != organisation:
        return f"organisation {named}, not {organisation}"
    return None
