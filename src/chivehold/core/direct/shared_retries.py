"""A retry budget that all entries share without agreeing on anything.

Upstreams are protected by one bound over all entries: a share of their requests and a fixed extra.
Each entry spends the share of the requests that it has itself seen, and an equal part of the extra.
The parts of any number of entries add up to no more than the bound, as long as
they assume at least as many entries as there are.
"""

from chivehold.core.retries import RetryBudget


class SharedRetries:
    """This entry's part of the retry budget of each service.

    Args:
        share: Calls beyond the first, as a share of the requests within the window, 0 to 1.
        extra: Further such calls that all entries together may make within the window.
        window_s: The window in seconds.
        entries: How many entries share the extra.
    """

    def __init__(self, share: float, extra: float, window_s: float, entries: int) -> None:
        self._share = share
        self._extra = extra
        self._window_s = window_s
        self._entries = max(1, entries)
        self._budgets: dict[str, RetryBudget] = {}

    def configure(self, share: float, extra: float, entries: int) -> None:
        """Change the bound and how many entries share its extra."""
        self._share = share
        self._extra = extra
        self._entries = max(1, entries)
        for budget in self._budgets.values():
            budget.allow(self._share, self._floor)

    @property
    def _floor(self) -> int:
        return int(self._extra / self._entries)

    def saw_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._of(service).saw_request(now)

    def take(self, service: str, now: float) -> bool:
        """Spend one call beyond a request's first, or return ``False``."""
        return self._of(service).take(now)

    def _of(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                self._share, self._floor, self._window_s, adds_up=True
            )
        return self._budgets[service]
