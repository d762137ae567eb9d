import pytest

from chivehold.core.identity import EntryIncarnation, KeyId, Organisation, RequestId, TargetName
from chivehold.core.keys import CLOCK_MARGIN_S, KeyRegistry
from chivehold.core.wire import KeyCommit, KeyDecision, KeyRegistration

KEY = KeyId(Organisation("bruma"), TargetName("lector"), "k")
RETENTION_S = 100.0
UP_S = 1_000.0


def register(
    registry: KeyRegistry, request: str, entry: str = "e1", now: float = 0.0
) -> KeyDecision:
    registration = KeyRegistration(KEY, RequestId(request), EntryIncarnation(entry), 1.0)
    return registry.register(registration, UP_S, now)


def commit(request: str, entry: str = "e1") -> KeyCommit:
    return KeyCommit(KEY, RequestId(request), EntryIncarnation(entry))


class TestKeyRegistry:
    @pytest.mark.parametrize(
        ("sent_ago_s", "up_for_s", "decision"),
        [
            (10.0, 10.0 + CLOCK_MARGIN_S, KeyDecision.FRESH),
            (10.0, 9.9 + CLOCK_MARGIN_S, KeyDecision.UNKNOWN),
            (RETENTION_S, UP_S, KeyDecision.UNKNOWN),
            (-CLOCK_MARGIN_S - 0.1, UP_S, KeyDecision.UNKNOWN),
        ],
    )
    def test_unknown_if_an_answer_cannot_be_ruled_out(
        self, sent_ago_s: float, up_for_s: float, decision: KeyDecision
    ) -> None:
        """`UNKNOWN` if the key may have been answered before the start, or been forgotten."""
        registration = KeyRegistration(KEY, RequestId("r"), EntryIncarnation("e1"), sent_ago_s)
        assert KeyRegistry(RETENTION_S).register(registration, up_for_s, 0.0) is decision

    def test_lets_one_request_run_and_commit(self) -> None:
        """Only the registered request commits, once; a repeat of its commit is harmless."""
        registry = KeyRegistry(RETENTION_S)
        assert [register(registry, request) for request in ("r1", "r1", "r2")] == [
            KeyDecision.FRESH,
            KeyDecision.FRESH,
            KeyDecision.IN_PROGRESS,
        ]
        commits = [commit("r2"), commit("r1", "e2"), commit("r1"), commit("r1"), commit("r2")]
        assert [registry.commit(key_commit, 0.0) for key_commit in commits] == [
            False,
            False,
            True,
            True,
            False,
        ]
        assert register(registry, "r2", now=RETENTION_S - 1) is KeyDecision.ALREADY_ANSWERED
        assert register(registry, "r2", now=RETENTION_S) is KeyDecision.FRESH

    def test_frees_the_keys_of_a_dead_entry(self) -> None:
        """After an entry's lease lapses, its late commit is refused and another request may run."""
        registry = KeyRegistry(RETENTION_S)
        register(registry, "r1")
        registry.release_all_of(EntryIncarnation("e1"))
        assert not registry.commit(commit("r1"), 0.0)
        assert register(registry, "r2", "e2") is KeyDecision.FRESH
        assert registry.commit(commit("r2", "e2"), 0.0)

    def test_frees_a_released_key_unless_it_was_committed(self) -> None:
        """A release by the owner frees a key; one by another, or after the commit, does not."""
        registry = KeyRegistry(RETENTION_S)
        register(registry, "r1")
        registry.release(commit("r2"))
        assert register(registry, "r2") is KeyDecision.IN_PROGRESS
        registry.release(commit("r1"))
        assert register(registry, "r2") is KeyDecision.FRESH
        registry.commit(commit("r2"), 0.0)
        registry.release(commit("r2"))
        assert register(registry, "r3") is KeyDecision.ALREADY_ANSWERED

    def test_is_bounded(self) -> None:
        """A full registry accepts no new key."""
        registry = KeyRegistry(RETENTION_S, max_keys=1)
        register(registry, "r1")
        other = KeyRegistration(KEY._replace(key="l"), RequestId("r"), EntryIncarnation("e"), 0.0)
        assert registry.register(other, UP_S, 0.0) is KeyDecision.UNKNOWN
