"""Which content the ends of upstreams convict."""

from chivehold.core.direct.crash_evidence import (
    REPORTS_S,
    CrashEvidence,
    CrashPolicy,
    Suspect,
    UpstreamEnd,
)
from chivehold.core.direct.crash_keys import CrashKey, KeyKind
from chivehold.core.direct.messages import UpstreamIncarnation

POLICY = CrashPolicy()
FIRST = CrashKey(KeyKind.PROMPT_PART, "first")
BAD = CrashKey(KeyKind.PROMPT_PART, "bad")
OTHER = CrashKey(KeyKind.PROMPT_PART, "other")
REQUEST = CrashKey(KeyKind.REQUEST, "r1")
OTHER_REQUEST = CrashKey(KeyKind.REQUEST, "r2")


def end(number: int, at: float, *keys: CrashKey, ran_s: float = 0.1) -> UpstreamEnd:
    """Return the end of an upstream at some time, under a request with these keys."""
    suspects = tuple(Suspect(key, None) for key in keys)
    return UpstreamEnd(UpstreamIncarnation(f"u{number}", 1), suspects, at - ran_s, at)


def found(evidence: CrashEvidence, now: float = 100.0) -> list[CrashKey]:
    return [finding.key for finding in evidence.find((), now)]


class TestFindings:
    # Guards against content that ends upstreams and is never refused.
    def test_suspect_at_several_ends(self) -> None:
        """Content that was suspect at three ends in a row is found, not before."""
        evidence = CrashEvidence(POLICY)
        for number in range(POLICY.ends):
            assert found(evidence) == []
            evidence.record_end(end(number, 10.0 + number, BAD))
        assert found(evidence) == [BAD]

    # Guards against sound prompts that are refused as they share a part with bad ones.
    def test_shared_first_part_is_spared(self) -> None:
        """Of two parts suspect at the same ends, the later and narrower one is found."""
        evidence = CrashEvidence(POLICY)
        for number in range(5):
            evidence.record_end(end(number, 10.0 + number, FIRST, BAD))
        # One more end, for another reason, under a prompt with the shared part alone.
        evidence.record_end(end(9, 20.0, FIRST))
        assert found(evidence) == [BAD]

    def test_ends_found_before_blame_nothing_else(self) -> None:
        """Prompts that were on their way when a part was found add nothing against the others."""
        evidence = CrashEvidence(POLICY)
        for number in range(10):
            evidence.record_end(end(number, 10.0 + number, FIRST, BAD))
        assert list(evidence.find((BAD,), 100.0)) == []

    # Guards against a wrong verdict when several upstreams lose power at once.
    def test_ends_together_count_once(self) -> None:
        """Upstreams that end within a moment may have one common cause."""
        evidence = CrashEvidence(POLICY)
        for number in range(10):
            evidence.record_end(end(number, 10.0 + 0.01 * number, BAD))
        assert found(evidence) == []

    def test_repeat_that_was_sent_after_an_end_counts(self) -> None:
        """A request that goes from one upstream to the next ends them one after the other."""
        evidence = CrashEvidence(POLICY)
        for number in range(3):
            evidence.record_end(end(number, 10.0 + 0.08 * number, REQUEST, ran_s=0.07))
        assert found(evidence) == [REQUEST]

    def test_one_end_reported_by_several_entries_counts_once(self) -> None:
        """An upstream ends once, however many requests it took with it."""
        evidence = CrashEvidence(POLICY)
        for offset in (0.0, 1.0, 2.0):
            evidence.record_end(end(1, 10.0 + offset, BAD))
        assert found(evidence) == []

    def test_request_is_narrower_than_its_parts(self) -> None:
        """If one request alone explains the ends, no part of its prompt is found."""
        evidence = CrashEvidence(POLICY)
        for number in range(3):
            evidence.record_end(end(number, 10.0 + number, REQUEST, FIRST, BAD))
        assert found(evidence) == [REQUEST]

    # Guards against a part that is never found, as each of its prompts is blamed alone.
    def test_repeated_prompts_do_not_hide_their_part(self) -> None:
        """What several requests explain one by one is put down to the part that they share."""
        evidence = CrashEvidence(POLICY)
        for number in range(3):
            evidence.record_end(end(number, 10.0 + number, REQUEST, FIRST, BAD))
        assert found(evidence) == [REQUEST]
        evidence.record_end(end(7, 20.0, OTHER_REQUEST, FIRST, BAD))
        assert list(evidence.find((REQUEST,), 100.0)) == []
        evidence.record_end(end(8, 21.0, OTHER_REQUEST, FIRST, BAD))
        assert [finding.key for finding in evidence.find((REQUEST,), 100.0)] == [BAD]

    # Guards against a part of a sound prompt that is blamed for what a request beside it has done.
    def test_neighbours_of_a_found_request(self) -> None:
        """What a request that was found has ended counts against its own parts alone."""
        evidence = CrashEvidence(POLICY)
        for number in range(3):
            evidence.record_end(end(number, 10.0 + number, REQUEST, FIRST, BAD))
            evidence.record_end(end(number, 10.0 + number, OTHER_REQUEST, OTHER))
        for number in (7, 8):
            evidence.record_end(end(number, 20.0 + number, CrashKey(KeyKind.REQUEST, "r3"), OTHER))
        assert list(evidence.find((REQUEST,), 100.0)) == []

    # Guards against a shared part that is found as the report of the bad one comes a moment later.
    def test_end_counts_once_its_reports_are_in(self) -> None:
        """An end is told by each request that it took with it."""
        evidence = CrashEvidence(POLICY)
        for number in range(3):
            evidence.record_end(end(number, 10.0 + number, REQUEST, FIRST))
        assert found(evidence, 12.0 + REPORTS_S / 2) == []
        assert found(evidence, 12.0 + REPORTS_S) == [REQUEST]

    def test_two_bad_parts(self) -> None:
        """Each part that explains ends of its own is found."""
        evidence = CrashEvidence(POLICY)
        for number in range(3):
            evidence.record_end(end(number, 10.0 + number, FIRST, BAD))
            evidence.record_end(end(number + 10, 20.0 + number, FIRST, OTHER))
        assert sorted(found(evidence)) == sorted([BAD, OTHER])

    def test_order_of_reports_does_not_matter(self) -> None:
        """Facts may come in any order."""
        ends = [end(number, 10.0 + number, FIRST, BAD) for number in range(4)]
        for reports in (ends, ends[::-1]):
            evidence = CrashEvidence(POLICY)
            for report in reports:
                evidence.record_end(report)
            assert found(evidence) == [BAD]


class TestCleared:
    def test_content_that_ran_without_harm_since(self) -> None:
        """A sound run clears content of all earlier ends."""
        evidence = CrashEvidence(POLICY)
        for number in range(2):
            evidence.record_end(end(number, 10.0 + number, BAD))
        assert evidence.is_suspect(BAD, 12.0)
        evidence.record_harmless(BAD, 12.0)
        assert not evidence.is_suspect(BAD, 12.0)
        evidence.record_end(end(5, 13.0, BAD))
        assert found(evidence) == []

    # Guards against refusing a part that most prompts share, when engines end one after another.
    def test_content_that_was_sound_before_needs_more_ends(self) -> None:
        """Content that once ran without harm is found after six ends in a row."""
        evidence = CrashEvidence(POLICY)
        evidence.record_harmless(FIRST, 1.0)
        for number in range(POLICY.ends_if_sound_before - 1):
            evidence.record_end(end(number, 10.0 + number, FIRST))
        assert found(evidence) == []
        evidence.record_end(end(50, 50.0, FIRST))
        assert found(evidence) == [FIRST]

    def test_what_the_reporter_saw_counts(self) -> None:
        """An entry that has just started learns with an end what ran without harm before."""
        evidence = CrashEvidence(POLICY)
        for number in range(4):
            suspects = (Suspect(FIRST, 5.0), Suspect(BAD, None))
            upstream = UpstreamIncarnation(f"u{number}", 1)
            evidence.record_end(UpstreamEnd(upstream, suspects, 9.9 + number, 10.0 + number))
        assert found(evidence) == [BAD]
        assert evidence.sound_at(FIRST) == 5.0

    def test_old_ends_do_not_count(self) -> None:
        """Ends are forgotten after some time."""
        evidence = CrashEvidence(POLICY)
        for number in range(3):
            evidence.record_end(end(number, 10.0 + number, BAD))
        assert found(evidence, now=10.5 + POLICY.evidence_s) == []
