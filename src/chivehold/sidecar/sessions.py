"""The open sessions of entries: streams of attempts, prefills and calls."""

from typing import Generic, TypeVar

import trio

from chivehold.core.identity import AttemptId
from chivehold.core.wire import (
    AttemptFrame,
    AttemptOffer,
    CallContent,
    CallResult,
    FrameKind,
    PrefillResult,
)

ResultT = TypeVar("ResultT")

_FINAL_KINDS = (FrameKind.FINISHED, FrameKind.FAILED, FrameKind.REFUSED)


class AttemptStream:
    """The frames to send to an entry; ``ended`` is true once the final one has been added."""

    def __init__(self) -> None:
        self._frames: list[AttemptFrame] = []
        self._arrived = trio.Event()
        self.ended = False

    def put(self, frame: AttemptFrame) -> None:
        """Add a frame."""
        self._frames.append(frame)
        self.ended = self.ended or frame.kind in _FINAL_KINDS
        self._arrived.set()

    async def next_frames(self) -> list[AttemptFrame]:
        """Return and remove all frames that have been added, waiting for the first."""
        await self._arrived.wait()
        frames, self._frames = self._frames, []
        self._arrived = trio.Event()
        return frames


class PendingResult(Generic[ResultT]):
    """A result that an entry waits for."""

    def __init__(self) -> None:
        self._settled = trio.Event()
        self._result: ResultT | None = None

    @property
    def ended(self) -> bool:
        """Whether the result has been set."""
        return self._settled.is_set()

    def settle(self, result: ResultT) -> None:
        """Set the result; a second one is ignored."""
        if not self.ended:
            self._result = result
            self._settled.set()

    async def wait(self) -> ResultT:
        """Wait for the result and return it."""
        await self._settled.wait()
        assert self._result is not None
        return self._result


class CallSession(PendingResult[CallResult]):
    """A plain service's call that an entry waits for.

    Args:
        offer: The offer sent with the call.
        content: The call.
        deadline: Time on the trio clock, in seconds, at which the call times out.
    """

    def __init__(self, offer: AttemptOffer, content: CallContent, deadline: float) -> None:
        super().__init__()
        self.offer = offer
        self.content = content
        self.deadline = deadline


class Sessions:
    """The open sessions by attempt; an attempt has at most one."""

    def __init__(self) -> None:
        self._streams: dict[AttemptId, AttemptStream] = {}
        self._prefills: dict[AttemptId, PendingResult[PrefillResult]] = {}
        self._calls: dict[AttemptId, CallSession] = {}

    def __len__(self) -> int:
        return len(self._streams) + len(self._prefills) + len(self._calls)

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._streams or attempt in self._prefills or attempt in self._calls

    def open_stream(self, attempt: AttemptId) -> AttemptStream:
        """Open the stream of an attempt that does not have a session yet."""
        stream = self._streams[attempt] = AttemptStream()
        return stream

    def open_prefill(self, attempt: AttemptId) -> PendingResult[PrefillResult]:
        """Open the session of a prefill that does not have one yet."""
        pending = self._prefills[attempt] = PendingResult()
        return pending

    def open_call(self, session: CallSession) -> None:
        """Open the session of a call that does not have one yet."""
        self._calls[session.offer.attempt] = session

    def find_call(self, attempt: AttemptId) -> CallSession | None:
        """Return the open call of an attempt, or ``None``."""
        return self._calls.get(attempt)

    def close(self, attempt: AttemptId) -> None:
        """Close an attempt's session."""
        self._streams.pop(attempt, None)
        self._prefills.pop(attempt, None)
        self._calls.pop(attempt, None)

    def deliver_frame(self, frame: AttemptFrame) -> None:
        """Deliver a frame to the attempt's stream or call, if it is still open."""
        stream = self._streams.get(frame.attempt)
        if stream is not None:
            stream.put(frame)
        call = self._calls.get(frame.attempt)
        if call is not None and frame.kind in _FINAL_KINDS:
            call.settle(_call_result(frame))

    def deliver_prefill(self, result: PrefillResult) -> None:
        """Deliver a prefill's result to its session, if it is still open."""
        pending = self._prefills.get(result.attempt)
        if pending is not None:
            pending.settle(result)


def _call_result(frame: AttemptFrame) -> CallResult:
    return CallResult(
        attempt=frame.attempt,
        reason=frame.reason,
        started=frame.kind is not FrameKind.REFUSED,
        retry_after_s=frame.retry_after_s,
    )
