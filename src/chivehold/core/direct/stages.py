"""Choice of which engines of a model service prefill and which decode.

In a burst, decode memory is the bottleneck: a stream holds its memory for seconds, while a prefill
takes a tenth of a second. With too few prefill engines every first event is delayed; with too few
decode engines requests are refused. An engine that changes its stage is unavailable for seconds, so
a change must be worth that cost.
"""

from collections.abc import Collection, Iterator, Sequence
from typing import NamedTuple

from chivehold.core.direct.messages import Stage, UpstreamRecord

SHORTAGE_GRACE_S = 8.0
"""How long prefill engines must be missing before a decode engine replaces one.

A crashed engine is usually back sooner, and decode engines prefill prompts themselves meanwhile.
"""
TOLERATED_SURPLUS = 0.25
"""Surplus of prefill engines tolerated without a change, as a share of the wanted number."""
TOLERATED_SURPLUS_IN_USE = 1
"""Surplus tolerated while engines are in use: a change takes one away for seconds.

Not where it leaves half of the engines or fewer for decoding.
"""
MIN_SHARE = 0.5
"""Share of the wanted prefill engines that must exist; decode engines do the other prefills."""


class StageChange(NamedTuple):
    """An engine that should change its stage."""

    upstream: UpstreamRecord
    stage: Stage


def prefill_engines_wanted(engines: int, decode_per_prefill: float) -> int:
    """Return how many of a service's engines should prefill.

    Args:
        engines: Number of engines that accept work; a single one decodes and prefills its prompts.
        decode_per_prefill: Number of decode engines that one prefill engine keeps busy.
    """
    if engines < 2:
        return 0
    return min(engines - 1, max(1, round(engines / (1 + decode_per_prefill))))


class PrefillSupply(NamedTuple):
    """The prefill engines of one service at a moment."""

    prefilling: int
    """Number of engines that prefill or are changing to it, without draining ones."""
    decoding: int
    """Number of engines that decode or are changing to it, without draining ones."""
    wanted: int
    """Number of engines that should prefill."""
    is_draining: bool
    """Whether a prefill engine is draining, which will not come back."""
    is_in_use: bool
    """Whether requests are running at the engines."""


class StageBalance:
    """Decides when a service has had too many or too few prefill engines for long enough."""

    def __init__(self) -> None:
        self._short_since: float | None = None
        self._is_loss_final = False

    def may_change(self, supply: PrefillSupply, now: float) -> bool:
        """Return whether engines may change their stage at monotonic time ``now``, in seconds."""
        if supply.prefilling >= supply.wanted * MIN_SHARE:
            self._short_since = None
            self._is_loss_final = False
            return supply.prefilling > supply.wanted + _tolerated_surplus(supply)
        if self._short_since is None:
            self._short_since = now
        self._is_loss_final |= supply.is_draining
        return self._is_loss_final or now - self._short_since >= SHORTAGE_GRACE_S


def stage_changes(
    engines: Sequence[UpstreamRecord],
    changing: Collection[str],
    wanted_prefill: int,
    max_changes: int,
) -> Iterator[StageChange]:
    """Yield the changes that bring the number of prefill engines to the wanted number.

    Args:
        engines: A service's engines that accept work, with their current stage or the one that
            they are changing to.
        changing: Names of engines that are already changing; they count but get no new change.
        wanted_prefill: Number of engines that should prefill.
        max_changes: Maximum number of engines that may be changing at once.
    """
    prefilling = [engine for engine in engines if engine.stage is Stage.PREFILL]
    decoding = [engine for engine in engines if engine.stage is Stage.DECODE]
    allowed = max(0, max_changes - len(changing))
    surplus = len(prefilling) - wanted_prefill
    source, stage = (prefilling, Stage.DECODE) if surplus > 0 else (decoding, Stage.PREFILL)
    changeable = [engine for engine in _fullest_zones_first(source) if engine.name not in changing]
    for upstream in changeable[: min(abs(surplus), allowed)]:
        yield StageChange(upstream, stage)


def _tolerated_surplus(supply: PrefillSupply) -> float:
    tolerated = supply.wanted * TOLERATED_SURPLUS
    if supply.is_in_use and supply.decoding > supply.prefilling:
        return max(tolerated, TOLERATED_SURPLUS_IN_USE)
    return tolerated


def _fullest_zones_first(engines: Sequence[UpstreamRecord]) -> list[UpstreamRecord]:
    """Order engines so that each is taken from the zone with the most engines left.

    Removing any number from the front leaves the rest spread over as many zones as possible.
    """
    remaining = sorted(engines, key=lambda engine: engine.name)
    order: list[UpstreamRecord] = []
    while remaining:
        zones = [engine.zone for engine in remaining]
        fullest = max(sorted(set(zones)), key=zones.count)
        picked = next(engine for engine in remaining if engine.zone == fullest)
        remaining.remove(picked)
        order.append(picked)
    return order
