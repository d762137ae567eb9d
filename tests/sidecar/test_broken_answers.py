"""Services that send a part of an answer, or bytes that are none in the protocol."""

import pytest

from chivehold.core.identity import Role
from chivehold.core.wire import CallResult, Reason
from chivehold.fakes.server import StandInAddresses
from tests.direct.raw_upstream import LONG_BODY, Ending, RawUpstream, raw_peer
from tests.malformed_heads import MALFORMED_HEADS
from tests.sidecar.rig import start_rig

CALL = ("PUT", "/chairs", [("x-chivehold-request-id", "r1")])


async def call(upstream: RawUpstream, body: bytes = b"body") -> CallResult:
    async with start_rig(()) as rig, raw_peer(upstream) as address:
        rig.engines[Role.SERVICE] = StandInAddresses(address, "")
        await rig.start_sidecar(Role.SERVICE, max_body_bytes=len(LONG_BODY))
        sidecar = rig.sidecars[Role.SERVICE]
        return await sidecar.call(await sidecar.offer(1), body=body, call=CALL)


class TestCall:
    # Guards against a part of an answer that an entry gets as a whole one.
    async def test_reset_during_the_upload(self) -> None:
        """An answer without a length whose connection is reset counts as none."""
        upstream = RawUpstream(
            lambda request_id: b"HTTP/1.1 200 OK\r\n\r\na part", Ending.RESET, is_early=True
        )
        result = await call(upstream, LONG_BODY)
        assert (result.status, result.reason) == (0, Reason.ENGINE_FAILED)
        assert upstream.requests == 1

    # Guards against an answer whose head is none in the protocol.
    @pytest.mark.parametrize("head", MALFORMED_HEADS)
    async def test_malformed_head(self, head: bytes) -> None:
        """The answer counts as none; the call may have run."""
        upstream = RawUpstream(
            lambda request_id: head + b"\r\nconnection: close\r\n\r\n{}", Ending.ORDERLY
        )
        result = await call(upstream)
        assert (result.status, result.reason) == (0, Reason.ENGINE_FAILED)
        assert result.started
