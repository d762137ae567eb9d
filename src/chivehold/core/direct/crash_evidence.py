"""Finds the content that ends upstreams, from what was running there when they ended.

An upstream that ends takes all its requests with it, and upstreams end for other reasons as well.
So the end of an upstream makes suspects of the requests that had just begun there, and only of
their content: the parts of their prompts, or the whole request. Content that runs without harm
afterwards is cleared. What has been suspect at several ends in a row, never cleared in between, is
what ends upstreams.

A part that many prompts share is suspect whenever a bad part is. So content that was seen to run
without harm before needs more ends, among several explanations the narrowest one counts, and ends
that it explains count against nothing else. But each request that was found counts as one end
against the parts of its prompt, as several may have a bad part in common.
"""

import math
from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

from chivehold.core.direct.crash_keys import CrashKey, KeyKind
from chivehold.core.direct.messages import UpstreamIncarnation

HERD_S = 0.25
"""Ends within this time may have one common cause and count once."""
ORDER_TOLERANCE_S = 0.05
"""Uncertainty of times in facts of other entries."""
REPORTS_S = 0.2
"""Time in which all requests that an end took with it are reported; it counts only then."""
MAX_REMEMBERED_ENDS = 500
MAX_CLEARED = 8_192
"""Keys remembered as cleared; those that ran longest ago are forgotten first."""


class CrashPolicy(NamedTuple):
    """What is needed to quarantine content."""

    ends: int = 3
    """Ends under content that was never seen to run without harm."""
    ends_if_sound_before: int = 6
    """Ends in a row under content that once ran without harm."""
    evidence_s: float = 300.0
    """Age in seconds at which an end no longer counts."""
    quarantine_s: float = 3_600.0
    """Duration of a quarantine in seconds."""
    trial_s: float = 120.0
    """Time in seconds until a quarantine is tried for the first time."""


DEFAULT_CRASH_POLICY = CrashPolicy()


class Suspect(NamedTuple):
    """Content of a request that had just begun when its upstream ended."""

    key: CrashKey
    sound_at: float | None
    """When the reporting entry last saw it run without harm; monotonic seconds."""


class UpstreamEnd(NamedTuple):
    """An upstream's process ended under one request. Times are in monotonic seconds."""

    upstream: UpstreamIncarnation
    suspects: tuple[Suspect, ...]
    """The keys of the request; those of the parts of its prompt in their order."""
    sent_at: float
    """When the request was sent to the upstream."""
    ended_at: float

    @property
    def request(self) -> CrashKey | None:
        """The key of the request as a whole, or ``None`` if it is not known."""
        keys = (suspect.key for suspect in self.suspects)
        return next((key for key in keys if key.kind is KeyKind.REQUEST), None)


class CrashFinding(NamedTuple):
    """Content that ends upstreams, with what shows it."""

    key: CrashKey
    ends: int
    """Number of ends that count."""
    first_ended_at: float
    last_ended_at: float
    was_sound_before: bool


class _Candidate(NamedTuple):
    finding: CrashFinding
    position: int
    """Position among the keys of its requests; later ones are narrower."""


class CrashEvidence:
    """The ends of upstreams and what ran without harm, as far as this entry knows.

    Args:
        policy: What is needed for a finding.
    """

    def __init__(self, policy: CrashPolicy) -> None:
        self._policy = policy
        self._ends: list[UpstreamEnd] = []
        self._ends_by_key: dict[CrashKey, list[UpstreamEnd]] = {}
        self._cleared_at: dict[CrashKey, float] = {}

    def record_end(self, end: UpstreamEnd) -> None:
        """Record an end; one that is reported again, in any order, counts once."""
        self._ends.append(end)
        for suspect in end.suspects:
            self._ends_by_key.setdefault(suspect.key, []).append(end)
        if len(self._ends) > MAX_REMEMBERED_ENDS:
            self._ends.remove(min(self._ends, key=lambda known: known.ended_at))
            self._index_ends()
        for suspect in end.suspects:
            if suspect.sound_at is not None:
                self.record_harmless(suspect.key, suspect.sound_at)

    def record_harmless(self, key: CrashKey, at: float) -> None:
        """Record that content ran without harm; earlier ends no longer count against it."""
        self._cleared_at[key] = max(at, self._cleared_at.pop(key, -math.inf))
        if len(self._cleared_at) > MAX_CLEARED:
            del self._cleared_at[next(iter(self._cleared_at))]

    @property
    def newest_end_at(self) -> float:
        """When the last upstream ended that is remembered; minus infinity without any."""
        return max((end.ended_at for end in self._ends), default=-math.inf)

    def sound_at(self, key: CrashKey) -> float | None:
        """Return when content last ran without harm, or ``None`` if it was not seen to."""
        return self._cleared_at.get(key)

    def ends_under(self, key: CrashKey) -> int:
        """Return the number of upstreams that ended under content, also before it was cleared."""
        return len({end.upstream for end in self._ends_by_key.get(key, ())})

    def is_suspect(self, key: CrashKey, now: float) -> bool:
        """Return whether an upstream ended under content that has not been cleared since."""
        oldest_at = now - self._policy.evidence_s
        return any(
            end.ended_at > oldest_at and self._counts_against(key, end)
            for end in self._ends_by_key.get(key, ())
        )

    def find(self, known: Collection[CrashKey], now: float) -> Iterator[CrashFinding]:
        """Yield the content that explains the ends so far.

        Args:
            known: Content found before; it explains its ends first.
            now: Monotonic time in seconds.
        """
        self._forget_old(now)
        ends = [end for end in self._ends if end.ended_at <= now - REPORTS_S]
        found = set(known)
        while True:
            candidates = [
                c for c in self._candidates(ends, found) if self._is_sufficient(c.finding)
            ]
            if not candidates:
                return
            narrowest = min(candidates, key=_narrowness)
            yield narrowest.finding
            found.add(narrowest.finding.key)

    def _forget_old(self, now: float) -> None:
        kept = [end for end in self._ends if now < end.ended_at + self._policy.evidence_s]
        if len(kept) < len(self._ends):
            self._ends = kept
            self._index_ends()

    def _index_ends(self) -> None:
        self._ends_by_key = {}
        for end in self._ends:
            for suspect in end.suspects:
                self._ends_by_key.setdefault(suspect.key, []).append(end)

    def _counts_against(self, key: CrashKey, end: UpstreamEnd) -> bool:
        return end.ended_at > self._cleared_at.get(key, -math.inf)

    def _candidates(
        self, ends: Collection[UpstreamEnd], found: Collection[CrashKey]
    ) -> Iterator[_Candidate]:
        by_part = _upstreams_ended_by(ends, found, KeyKind.PROMPT_PART)
        by_request = _upstreams_ended_by(ends, found, KeyKind.REQUEST)
        ends_by_key: dict[CrashKey, list[UpstreamEnd]] = {}
        positions: dict[CrashKey, int] = {}
        for end in ends:
            if end.upstream in by_part:
                continue
            for position, suspect in enumerate(end.suspects):
                if suspect.key not in found and self._counts_against(suspect.key, end):
                    ends_by_key.setdefault(suspect.key, []).append(end)
                    positions[suspect.key] = max(position, positions.get(suspect.key, 0))
        for key, all_ends in ends_by_key.items():
            key_ends = [end for end in all_ends if end.upstream not in by_request]
            if key.kind is KeyKind.PROMPT_PART:
                # Several bad requests may have a bad part in common, so each counts once.
                one_each = {end.request: end for end in all_ends if end.request in found}
                key_ends += one_each.values()
            if len(key_ends) < self._policy.ends:
                continue
            counted = list(_independent(key_ends))
            finding = CrashFinding(
                key,
                len(counted),
                counted[0].ended_at,
                counted[-1].ended_at,
                key in self._cleared_at,
            )
            yield _Candidate(finding, positions[key])

    def _is_sufficient(self, finding: CrashFinding) -> bool:
        policy = self._policy
        needed = policy.ends_if_sound_before if finding.was_sound_before else policy.ends
        return finding.ends >= needed


def _upstreams_ended_by(
    ends: Iterable[UpstreamEnd], found: Collection[CrashKey], kind: KeyKind
) -> set[UpstreamIncarnation]:
    return {
        end.upstream
        for end in ends
        if any(s.key.kind is kind and s.key in found for s in end.suspects)
    }


def _independent(ends: Iterable[UpstreamEnd]) -> Iterator[UpstreamEnd]:
    """Yield ends, oldest first, that have no common cause with the one before.

    Those that come shortly after one another may have one, as when several upstreams lose power,
    unless the request was sent only after the end before.
    """
    last: UpstreamEnd | None = None
    seen: set[UpstreamIncarnation] = set()
    for end in sorted(ends, key=lambda end: end.ended_at):
        if end.upstream in seen:
            continue
        if last is None or _is_independent(last, end):
            seen.add(end.upstream)
            last = end
            yield end


def _is_independent(before: UpstreamEnd, end: UpstreamEnd) -> bool:
    if end.ended_at >= before.ended_at + HERD_S:
        return True
    return end.sent_at >= before.ended_at - ORDER_TOLERANCE_S


def _narrowness(candidate: _Candidate) -> tuple[bool, bool, int, int, str]:
    finding = candidate.finding
    is_part = finding.key.kind is KeyKind.PROMPT_PART
    return (
        finding.was_sound_before,
        is_part,
        -candidate.position,
        -finding.ends,
        finding.key.value,
    )
