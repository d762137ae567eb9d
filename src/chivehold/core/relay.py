"""Combines the output tokens of a request's attempts into one answer, in order and without gaps."""

from collections.abc import Iterator
from typing import NamedTuple

MAX_EARLY_FRAMES = 64


class TokenRun(NamedTuple):
    """Consecutive output tokens; ``offset`` counts from the answer's first token."""

    offset: int
    tokens: tuple[str, ...]


class AnswerRelay:
    """Orders the tokens of one answer across its attempts.

    Args:
        hold_last: Hold back the newest tokens until more follow or the answer may be completed.
    """

    def __init__(self, hold_last: bool) -> None:
        self._hold_last = hold_last
        self._relayed: list[str] = []
        self._held: tuple[str, ...] = ()
        self._early: dict[int, tuple[str, ...]] = {}

    @property
    def relayed(self) -> int:
        """Number of tokens relayed to the caller."""
        return len(self._relayed)

    @property
    def received(self) -> int:
        """Number of tokens received in order, those held back included."""
        return len(self._relayed) + len(self._held)

    @property
    def text(self) -> str:
        """The tokens relayed to the caller, as one text."""
        return "".join(self._relayed)

    def add(self, offset: int, tokens: tuple[str, ...]) -> Iterator[TokenRun]:
        """Add the tokens of a frame and yield the tokens that can be relayed now.

        Repeated tokens are dropped. Frames that arrive early are kept until the gap before them
        is filled, at most ``MAX_EARLY_FRAMES`` of them.
        """
        if offset > self.received:
            self._keep_early(offset, tokens)
            return
        yield from self._append(offset, tokens)
        while self._early:
            next_offset = min(self._early)
            if next_offset > self.received:
                return
            yield from self._append(next_offset, self._early.pop(next_offset))

    def is_complete(self, total: int) -> bool:
        """Return whether exactly ``total`` tokens have been received in order."""
        return self.received == total

    def release_held(self) -> Iterator[TokenRun]:
        """Yield the tokens held back, as the answer may be completed."""
        if self._held:
            yield self._append_relayed(self._held)
        self._held = ()

    def discard_unrelayed(self) -> None:
        """Discard the tokens not relayed yet; the next attempt generates them again."""
        self._held = ()
        self._early.clear()

    def _keep_early(self, offset: int, tokens: tuple[str, ...]) -> None:
        if tokens and len(self._early) < MAX_EARLY_FRAMES:
            self._early[offset] = max(tokens, self._early.get(offset, ()), key=len)

    def _append(self, offset: int, tokens: tuple[str, ...]) -> Iterator[TokenRun]:
        new_tokens = tokens[self.received - offset :]
        if not new_tokens:
            return
        if not self._hold_last:
            yield self._append_relayed(new_tokens)
            return
        held, self._held = self._held, ()
        if held:
            yield self._append_relayed(held)
        self._held = new_tokens

    def _append_relayed(self, tokens: tuple[str, ...]) -> TokenRun:
        run = TokenRun(len(self._relayed), tokens)
        self._relayed.extend(tokens)
        return run
