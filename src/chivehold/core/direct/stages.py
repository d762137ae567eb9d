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
    changes_most: int,
) -> Iterator[StageChange]:
    """Yield the changes that bring the number of prefill engines to the wanted one.

    Args:
        engines: A service's engines that take work, with the stages that they have or are
            changing to.
        changing: Names of those that are changing already; they count, and are left alone.
        wanted_prefill: How many should prefill.
        changes_most: Engines that may be changing at once.
    """
    prefilling = [one for one in engines if one.stage is Stage.PREFILL]
    decoding = [one for one in engines if one.stage is Stage.DECODE]
    allowed = max(0, changes_most - len(changing))
    surplus = len(prefilling) - wanted_prefill
    source, stage = (prefilling, Stage.DECODE) if surplus > 0 else (decoding, Stage.PREFILL)
    free = [one for one in _spread(source) if one.name not in changing]
    for upstream in free[: min(abs(surplus), allowed)]:
        yield StageChange(upstream, stage)


def _spread(engines: Sequence[UpstreamRecord]) -> list[UpstreamRecord]:
    """Return engines so that those of the fullest zones come first.

    What is left over after some were taken from the front then lies in as many zones as it can.
    """
    left = sorted(engines, key=lambda one: one.name)
    order: list[UpstreamRecord] = []
    while left:
        zones = [one.zone for one in left]
        fullest = max(sorted(set(zones)), key=zones.count)
        taken = next(one for one in left if one.zone == fullest)
        left.remove(taken)
        order.append(taken)
    return order
