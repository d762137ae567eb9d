"""Choice of which engines of a model service prefill and which decode.

In a burst, decode memory is the bottleneck: a stream holds its memory for seconds, while a prefill
takes a tenth of a second. With too few prefill engines every first event is delayed; with too few
decode engines requests are refused. An engine that changes its stage is unavailable for seconds, so
a change must be worth that cost.
"""

from collections.abc import Collection, Iterator, Sequence
from typing import NamedTuple

from chivehold.core.direct.messages import Stage, UpstreamRecord


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
