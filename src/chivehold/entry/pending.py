"""A caller's request on its way through the entry: what has been relayed, and how it ended."""

from collections.abc import AsyncIterator

import trio

from chivehold.core.entry_messages import Finish
from chivehold.core.identity import RequestId


class PendingRequest:
    """Passes output tokens and the end of one request to whoever answers its caller."""

    def __init__(self, request: RequestId) -> None:
        self._request = request
        self._unread_tokens: list[str] = []
        self._received_tokens = 0
        self._last_token_at = 0.0
        self._finish: Finish | None = None
        self._changed = trio.Event()

    @property
    def request(self) -> RequestId:
        """The request's id."""
        return self._request

    @property
    def received_tokens(self) -> int:
        """Number of output tokens received."""
        return self._received_tokens

    @property
    def last_token_at(self) -> float:
        """Monotonic time of the latest output token, in seconds; 0 before the first."""
        return self._last_token_at

    @property
    def is_finished(self) -> bool:
        """Whether the request has ended."""
        return self._finish is not None

    def relay(self, tokens: tuple[str, ...]) -> None:
        """Take output tokens; they follow those taken before."""
        self._unread_tokens.extend(tokens)
        self._received_tokens += len(tokens)
        self._last_token_at = trio.current_time()
        self._changed.set()

    def finish(self, finish: Finish) -> None:
        """Take the request's end."""
        self._finish = finish
        self._changed.set()

    async def stream_text(self) -> AsyncIterator[str]:
        """Yield all text that has arrived as one piece, until the request ends."""
        while True:
            if self._unread_tokens:
                tokens, self._unread_tokens = self._unread_tokens, []
                yield "".join(tokens)
            elif self._finish is not None:
                return
            else:
                self._changed = trio.Event()
                await self._changed.wait()

    async def wait_finished(self) -> Finish:
        """Return the request's end, once it is there."""
        while self._finish is None:
            self._changed = trio.Event()
            await self._changed.wait()
        return self._finish
