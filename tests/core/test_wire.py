import msgspec
import pytest

from chivehold.core.identity import AttemptId, RequestId
from chivehold.core.wire import AttemptFrame, FrameKind, Reason

FRAME = AttemptFrame(
    kind=FrameKind.FAILED,
    attempt=AttemptId(RequestId("e1.7"), 2),
    offset=3,
    tokens=("a", "b"),
    reason=Reason.KV_EXPIRED,
)


class TestAttemptFrame:
    def test_round_trip(self) -> None:
        """A frame is unchanged after encoding and decoding."""
        assert msgspec.json.decode(msgspec.json.encode(FRAME), type=AttemptFrame) == FRAME

    def test_unknown_kind_is_refused(self) -> None:
        """A frame of an unknown kind is an error, not a default."""
        with pytest.raises(msgspec.ValidationError):
            msgspec.json.decode(b'["sunny",["e1.7",2]]', type=AttemptFrame)
