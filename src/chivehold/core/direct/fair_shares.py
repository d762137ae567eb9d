"""What each organisation was granted lately, and which of them have had more than their share."""

import math
from collections.abc import Mapping

WINDOW_S = 15.0
"""Time constant with which grants lose weight; about twice the length of a stream."""
MIN_TOKENS = 1.0
"""Less than this is forgotten."""


class FairShares:
    """Tokens granted to organisations by this entry, which lose weight with time."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}
        self._updated_at = 0.0

    def record_grant(self, organisation: str | None, tokens: int, now: float) -> None:
        """Record tokens granted; those of callers without an organisation are not counted."""
        if organisation is not None:
            self._update(now)
            self._tokens[organisation] = self._tokens.get(organisation, 0.0) + tokens

    def over_share(self, waiting: frozenset[str], now: float) -> frozenset[str]:
        """Return the waiting organisations that were granted more than an equal share.

        Args:
            waiting: Organisations with waiting requests; those granted anything lately share, too.
            now: Monotonic time in seconds.
        """
        self._update(now)
        sharing = waiting | self._tokens.keys()
        share = sum(self._tokens.values()) / max(1, len(sharing))
        return frozenset(name for name in waiting if self._tokens.get(name, 0.0) > share)

    def dump(self, now: float) -> Mapping[str, int]:
        """Return the tokens granted lately by organisation."""
        self._update(now)
        return {name: round(tokens) for name, tokens in self._tokens.items()}

    def _update(self, now: float) -> None:
        passed_s = now - self._updated_at
        if passed_s <= 0:
            return
        decay = math.exp(-passed_s / WINDOW_S)
        self._tokens = {
            name: tokens * decay
            for name, tokens in self._tokens.items()
            if tokens * decay >= MIN_TOKENS
        }
        self._updated_at = now
