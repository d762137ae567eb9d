"""A retry budget divided among all entries without coordination between them.

To protect the upstreams, all entries together may retry a share of their requests plus a fixed
extra. Each entry spends half of the share of the requests that it has received itself, and an equal
part of the extra. The sum stays within the limit if each entry assumes at least as many entries as
there are. This also holds across restarts: a new process gets no extra until everything that its
predecessor may have spent is outside the window.

A retry may follow its request by up to a window, so the retries of one window stem from the
requests of that window and of the one before it, and the limit counts only the busier of the two.
An entry does not know whether the other entries are busy at the same time as itself. Half of the
share for the requests of both windows is at most the whole share for the busier one.
"""

from chivehold.core.retries import RetryBudget

UNCOORDINATED_SHARE = 0.5
"""Part of the share that an entry may spend without knowing the requests of other entries."""


class SharedRetryBudget:
    """This entry's part of the retry budget of each service.

    Args:
        share: Retries allowed per request within the window, 0 to 1.
        extra: Further retries that all entries together may make within the window.
        window_s: Length of the window in seconds.
        entries: Number of entries that share the extra.
        started_at: When this process started, in seconds on the clock that all calls use.
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
        """Change the limits and the number of entries that share the extra."""
        self._share = share
        self._extra = extra
        self._entries = max(1, entries)

    def count_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._budget_of(service).record_request(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one retry, or return ``False`` if the budget is exhausted."""
        budget = self._budget_of(service)
        budget.set_limits(self._share * UNCOORDINATED_SHARE, self._own_extra(now))
        return budget.try_spend(now)

    def charge(self, service: str, now: float) -> None:
        """Charge one retry that has already been made, whether or not the budget allows it."""
        self._budget_of(service).charge(now)

    def _budget_of(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                self._share * UNCOORDINATED_SHARE, 0, self._window_s, add_share_to_floor=True
            )
        return self._budgets[service]

    def _own_extra(self, now: float) -> float:
        """Return this entry's part of the extra.

        It is 0 for the first window after the start, because a new process does not know what its
        predecessor has spent.
        """
        return self._extra / self._entries if now >= self._extra_from else 0.0
