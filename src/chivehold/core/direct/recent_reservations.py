"""Reservations granted lately, to recognise a response that an engine has sent twice."""

from collections import OrderedDict

from chivehold.core.direct.messages import UpstreamIncarnation

MAX_RESERVATIONS = 4_096
"""Reservations remembered, over all engines; the earliest ones are forgotten first."""


class RecentReservations:
    """The reservations that engines have granted lately."""

    def __init__(self) -> None:
        self._reservations: OrderedDict[tuple[UpstreamIncarnation, str], None] = OrderedDict()

    def add(self, upstream: UpstreamIncarnation, hold: str) -> bool:
        """Add a reservation, or return ``False`` if the engine has granted it before."""
        key = (upstream, hold)
        if key in self._reservations:
            return False
        self._reservations[key] = None
        if len(self._reservations) > MAX_RESERVATIONS:
            self._reservations.popitem(last=False)
        return True
