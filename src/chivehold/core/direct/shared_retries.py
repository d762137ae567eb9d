"""A retry budget that all entries share without agreeing on anything.

Upstreams are protected by one bound over all entries: a share of their requests and a fixed extra.
Each entry spends the share of the requests that it has itself seen, and an equal part of the extra.
The parts of any number of entries add up to no more than the bound, as long as
they assume at least as many entries as there are. That holds across restarts too: a new process has
no extra until all that the process before it may have spent lies outside the window.
"""

from chivehold.core.retries import RetryBudget


class SharedRetries:
    """This entry's part of the retry budget of each service.

    Args:
        share: Calls beyond the first, as a share of the requests within the window, 0 to 1.
        extra: Further such calls that all entries together may make within the window.
        window_s: The window in seconds.
        entries: How many entries share the extra.
        started_at: When this process began, in seconds of the clock of all calls.
    """

    def __init__(
        self, share: float, extra: float, window_s: float, entries: int, started_at: float
    ) -> None:
        self._share = share
        self._extra = extra
        self._window_s = window_s
        self._entries = max(1, entries)
        self._extra_from = started_at + window_s
        self._budgets: dict[str, RetryBudget] = {}

    def configure(self, share: float, extra: float, entries: int) -> None:
        """Change the bound and how many entries share its extra."""
        self._share = share
        self._extra = extra
        self._entries = max(1, entries)

    def saw_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._of(service).record_request(now)

    def take(self, service: str, now: float) -> bool:
        """Spend one call beyond a request's first, or return ``False``."""
        budget = self._of(service)
        budget.set_limits(self._share, self._floor(now))
        return budget.try_spend(now)

    def _of(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                self._share, 0, self._window_s, add_share_to_floor=True
            )
        return self._budgets[service]

    def _floor(self, now: float) -> int:
        """Return this entry's part of the extra.

        A process that starts in another's place does not know what that one has spent of it.
        """
        return int(self._extra / self._entries) if now >= self._extra_from else 0
