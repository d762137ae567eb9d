"""Errors that the shells raise; each carries the step and the peer at which it arose."""

# Names tell what happened, as in `TimeoutExpired`; only the base is called an error.
# ruff: noqa: N818

from collections.abc import Sequence


class ChiveholdError(Exception):
    """Base of all errors of this package.

    Args:
        step: What was being done, as ``import KV cache``.
        peer: The address or name of the other side; empty where there is none.
        detail: What went wrong.
    """

    def __init__(self, step: str, peer: str, detail: str = "") -> None:
        super().__init__(step, peer, detail)
        self._step = step
        self._peer = peer
        self._detail = detail

    @property
    def step(self) -> str:
        """What was being done."""
        return self._step

    @property
    def peer(self) -> str:
        """The other side; empty where there is none."""
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
    """A settings file cannot be used; ``problems`` names every fault found in it."""

    def __init__(self, path: str, problems: Sequence[str]) -> None:
        super().__init__("read settings", path, "; ".join(problems))
        self._problems = tuple(problems)

    @property
    def problems(self) -> tuple[str, ...]:
        """One line a fault, each with file, key and what was expected."""
        return self._problems


class DeclarationInvalid(ChiveholdError):
    """Declaration files do not validate; ``problems`` names every fault found in them."""

    def __init__(self, path: str, problems: Sequence[str]) -> None:
        super().__init__("read declarations", path, "; ".join(problems))
        self._problems = tuple(problems)

    @property
    def problems(self) -> tuple[str, ...]:
        """One line a fault, each with file, key and what was expected."""
        return self._problems


class PeerRefused(ChiveholdError):
    """The peer answered that it will not do it."""


class Malformed(ChiveholdError):
    """What a peer or a caller sent does not have the agreed form."""


class Unauthorised(ChiveholdError):
    """The shared token is missing or wrong."""


class BudgetSpent(ChiveholdError):
    """The bodies of the requests in progress leave no room for another."""
