"""Exceptions raised outside the core, each with the operation and the peer that failed."""

# Exceptions are named after the condition, like `subprocess.TimeoutExpired`; only the base class
# has the suffix `Error`.
# ruff: noqa: N818

from collections.abc import Sequence


class ChiveholdError(Exception):
    """Base class of this package's exceptions.

    Args:
        step: The operation that failed, such as ``import KV cache``.
        peer: The address or name of the peer; empty if there is none.
        detail: What went wrong.
    """

    def __init__(self, step: str, peer: str, detail: str = "") -> None:
        super().__init__(step, peer, detail)
        self._step = step
        self._peer = peer
        self._detail = detail

    @property
    def step(self) -> str:
        """The operation that failed."""
        return self._step

    @property
    def peer(self) -> str:
        """The address or name of the peer; empty if there is none."""
        return self._peer

    @property
    def detail(self) -> str:
        """What went wrong."""
        return self._detail

    def __str__(self) -> str:
        at_peer = f" at {self._peer}" if self._peer else ""
        reason = f": {self._detail}" if self._detail else ""
        return f"{self._step}{at_peer}{reason}"


class SettingsInvalid(ChiveholdError):
    """A settings file cannot be read or is invalid; ``problems`` lists every error in it."""

    def __init__(self, path: str, problems: Sequence[str]) -> None:
        super().__init__("read settings", path, "; ".join(problems))
        self._problems = tuple(problems)

    @property
    def problems(self) -> tuple[str, ...]:
        """One line per error, with the file, the key and the expected value."""
        return self._problems


class DeclarationInvalid(ChiveholdError):
    """Declaration files cannot be read or are invalid; ``problems`` lists every error in them."""

    def __init__(self, path: str, problems: Sequence[str]) -> None:
        super().__init__("read declarations", path, "; ".join(problems))
        self._problems = tuple(problems)

    @property
    def problems(self) -> tuple[str, ...]:
        """One line per error, with the file, the key and the expected value."""
        return self._problems


class PeerRefused(ChiveholdError):
    """The peer refused the request."""


class Malformed(ChiveholdError):
    """Data received from a peer or a caller is malformed."""


class Unauthorised(ChiveholdError):
    """The shared token is missing or wrong."""


class BudgetSpent(ChiveholdError):
    """The memory budget for request bodies is used up."""
