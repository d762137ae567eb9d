import pytest

from chivehold.core.relay import MAX_EARLY_FRAMES, AnswerRelay, TokenRun


def relayed(relay: AnswerRelay, *frames: tuple[int, str]) -> list[TokenRun]:
    return [run for offset, text in frames for run in relay.add(offset, tuple(text))]


class TestAnswerRelay:
    @pytest.mark.parametrize(
        "frames",
        [
            [(0, "ab"), (2, "cd")],
            [(0, "ab"), (0, "ab"), (2, "cd"), (0, "abcd")],
            [(2, "cd"), (0, "ab")],
            [(1, "bc"), (3, "d"), (1, "bc"), (0, "a")],
            [(0, "ab"), (1, "bcd")],
        ],
        ids=["in order", "repeated", "reversed", "early twice", "overlapping"],
    )
    def test_relays_each_token_once_and_in_order(self, frames: list[tuple[int, str]]) -> None:
        """The caller gets the same answer for every order and overlap of frames."""
        relay = AnswerRelay(hold_last=False)
        runs = relayed(relay, *frames)
        assert "".join("".join(run.tokens) for run in runs) == "abcd" == relay.text
        assert [run.offset for run in runs] == sorted({run.offset for run in runs})
        assert relay.is_complete(4)

    def test_answer_with_a_gap_is_incomplete(self) -> None:
        """Tokens after a gap are not relayed, and the answer is not complete."""
        relay = AnswerRelay(hold_last=False)
        assert relayed(relay, (0, "a"), (2, "c")) == [TokenRun(0, ("a",))]
        assert not relay.is_complete(3)

    def test_early_frames_are_bounded(self) -> None:
        """The number of early frames that are kept is limited."""
        relay = AnswerRelay(hold_last=False)
        relayed(relay, *((offset, "x") for offset in range(1, MAX_EARLY_FRAMES + 10)))
        relayed(relay, (0, "x"))
        assert relay.received == MAX_EARLY_FRAMES + 1

    def test_holds_back_the_last_tokens(self) -> None:
        """The newest tokens are held until more arrive or they are released."""
        relay = AnswerRelay(hold_last=True)
        assert relayed(relay, (0, "ab")) == []
        assert relayed(relay, (2, "c")) == [TokenRun(0, ("a", "b"))]
        assert list(relay.release_held()) == [TokenRun(2, ("c",))]
        assert list(relay.release_held()) == []

    def test_resumes_after_the_relayed_tokens(self) -> None:
        """Held and early tokens are discarded, and the next attempt generates them again."""
        relay = AnswerRelay(hold_last=True)
        relayed(relay, (0, "ab"), (2, "c"), (5, "f"))
        relay.discard_unrelayed()
        assert (relay.relayed, relay.received, relay.text) == (2, 2, "ab")
        assert relayed(relay, (2, "CD"), (4, "E")) == [TokenRun(2, ("C", "D"))]
