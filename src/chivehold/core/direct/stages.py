"""Which engines of a model service should prefill and which should decode.

Decode memory binds in a burst: a stream holds its memory for seconds, a prompt is read in a tenth
of one. Too few prefill engines make every first event wait; too few decode engines turn callers
away. An engine that changes its stage is away for seconds, so a change has to be worth that.
"""

from collections.abc import Collection, Iterator, Sequence
from typing import NamedTuple

from chivehold.core.direct.messages import Stage, UpstreamRecord


class StageChange(NamedTuple):
    """An engine that should change its stage."""

    upstream: UpstreamRecord
    stage: Stage


def prefill_engines_wanted(engines: int, decode_per_prefill: float) -> int:
    """Return how many of some engines should prefill.

    Args:
        engines: Engines that take work; a single one decodes and reads its prompts itself.
        decode_per_prefill: Decode engines that one prefill engine keeps busy.
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
    """Yield the changes that bring the number of prefill engines to the wanted one.

    Args:
        engines: A service's engines that take work, with the stages that they have or are
            changing to.
        changing: Names of those that are changing already; they count, and are left alone.
        wanted_prefill: How many should prefill.
        changes_most: Engines that may be changing at once.
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
    """Return engines so that those of the fullest zones come first.

    What is left over after some were taken from the front then lies in as many zones as it can.
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
