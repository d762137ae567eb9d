"""Lets few requests with quarantined content through, to see whether it is harmless.

One that runs without harm lifts the quarantine. One that ends its upstream has cost that upstream,
so all entries together make only as many trials as the core allows: an entry claims each by a
conditional write to the store, and makes none while the store is away.
"""

import logging
from collections.abc import Awaitable, Callable
from random import Random

import trio

from chivehold.core.direct.quarantine import Quarantine
from chivehold.direct.quarantines import Quarantines
from chivehold.logs import log_event

CLAIM_TIMEOUT_S = 1.0
"""How long a request waits for its claim before it is refused."""
CLAIM_INTERVAL_S = 1.0
"""Time between two claims of an entry, so that an outage of the store costs few calls."""
CLAIMANTS = 4
"""Entries that claim a trial when it is due, on average; the first one gets it."""

_log = logging.getLogger(__name__)


class QuarantineTrials:
    """Claims the trials that are due.

    Args:
        quarantines: The content that is refused.
        claim: Writes an order to the store; returns whether this entry was the first to do so.
        trial_s: Time from the begin of a quarantine to its first trial, in seconds.
        entries: Returns the number of entries.
        rng: Draws the entries that claim.
    """

    def __init__(
        self,
        quarantines: Quarantines,
        claim: Callable[[Quarantine], Awaitable[bool]],
        trial_s: float,
        entries: Callable[[], int],
        rng: Random,
    ) -> None:
        self._quarantines = quarantines
        self._claim = claim
        self._trial_s = trial_s
        self._entries = entries
        self._rng = rng
        self._next_claim_at = 0.0

    async def try_claim(self, order: Quarantine) -> bool:
        """Return whether a request refused by this order alone may be let through."""
        now = trio.current_time()
        if not order.is_trial_due(now) or now < self._next_claim_at:
            return False
        if self._rng.random() * self._entries() > CLAIMANTS:
            return False
        self._next_claim_at = now + CLAIM_INTERVAL_S
        claim = order.claim_trial(self._trial_s, now)
        claimed = False
        with trio.move_on_after(CLAIM_TIMEOUT_S):
            claimed = await self._claim(claim)
        if not claimed:
            log_event(_log, logging.INFO, "trial not claimed", None, key=str(order.key))
            return False
        self._quarantines.give(claim, "trial")
        return True
