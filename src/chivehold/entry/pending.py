"""Delivers a request's output and outcome to the task that answers its caller."""

from collections.abc import AsyncIterator

import trio

from chivehold.core.entry_messages import Finish
from chivehold.core.identity import RequestId


class PendingRequest:
    """Passes the output and the end of one request from the driver to the answering task."""

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
        """Append output tokens."""
        self._unread_tokens.extend(tokens)
        self._received_tokens += len(tokens)
        self._last_token_at = trio.current_time()
        self._changed.set()

    def finish(self, finish: Finish) -> None:
        """Record the end of the request."""
        self._finish = finish
        self._changed.set()

    async def stream_text(self) -> AsyncIterator[str]:
        """Yield the text received since the last yield as one string, until the request ends."""
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
        """Wait for the end of the request and return it."""
        while self._finish is None:
            self._changed = trio.Event()
            await self._changed.wait()
        return self._finish
