"""Sizes of the messages between processes, and the page with capacity figures."""

from functools import partial

import pytest
import trio

from chivehold.entry.sidecar_calls import SidecarCalls
from chivehold.rpc.chivehold_pb2_grpc import add_SidecarServicer_to_server
from chivehold.rpc.server import serve_rpc
from chivehold.sidecar.control import SidecarControl
from chivehold.sidecar.declarations import SidecarDeclarations
from examples.slopes.fit import fit_line
from examples.slopes.messages import declaration_push, message_sizes
from examples.slopes.page import replace_section
from examples.slopes.wire import TOKEN, CountingProxy

INTENDED_BYTES = {
    "HeartbeatRequest": 80,
    "HeartbeatResponse": 400,
    "RegisterKeyRequest": 180,
    "RegisterKeyResponse": 24,
    "CommitKeyRequest": 180,
    "CommitKeyResponse": 4,
    "RevokeRequest": 96,
    "RevokeResponse": 24,
    "OrderRequest": 128,
    "OrderResponse": 16,
    "ReadEngineRequest": 16,
    "ReadEngineResponse": 96,
    "PushDeclarationsRequest": 48_000,
    "PushDeclarationsResponse": 16,
    "PullDeclarationsRequest": 16,
    "AttemptOffer": 256,
    "AttemptFrame": 96,
    "PrefillOrder": 640,
    "PrefillResult": 160,
    "ImportOrder": 160,
    "LeaseRecord": 64,
    "Claim": 192,
    "Claim, ended": 64,
}
MIN_USED_SHARE = 0.4
SMALL_BYTES = 32
MAX_TRANSFER_BYTES = 6_000


class TestSizes:
    def test_every_kind_has_its_intended_size(self):
        """Every kind of message has an intended size, and vice versa."""
        assert {message.kind for message in message_sizes()} == INTENDED_BYTES.keys()

    @pytest.mark.parametrize("message", tuple(message_sizes()), ids=lambda message: message.kind)
    def test_within_intended_size(self, message):
        """A typical message fits its intended size and, unless that is small, uses 40% of it."""
        intended_bytes = INTENDED_BYTES[message.kind]
        assert message.encoded_bytes <= intended_bytes
        assert (
            intended_bytes <= SMALL_BYTES
            or message.encoded_bytes >= MIN_USED_SHARE * intended_bytes
        )


class TestDeclarationTransfer:
    async def test_changes_are_sent_compressed(self):
        """A changed deployment with two full pools takes few bytes to push and to pull."""
        declarations = SidecarDeclarations("model-0", 0.1, lambda event: None)
        add_servicer = partial(
            add_SidecarServicer_to_server, SidecarControl(None, None, declarations, dict)
        )
        async with (
            serve_rpc("127.0.0.1:0", [add_servicer], TOKEN) as address,
            trio.open_nursery() as nursery,
        ):
            proxy = CountingProxy(address)
            calls = SidecarCalls(lambda name: None, TOKEN)
            peer = await proxy.listen(nursery)
            await calls.push(peer, declaration_push())
            pushed = proxy.bytes_passed
            response = await calls.pull(peer, 0)
            pulled = proxy.bytes_passed - pushed
            nursery.cancel_scope.cancel()
        assert response.declarations == declaration_push().declarations
        assert max(pushed, pulled) <= MAX_TRANSFER_BYTES


class TestLine:
    def test_fit(self):
        """The fit of collinear points is exact, with an R² of 1."""
        fitted = fit_line("r", "w", "u", "p", [1, 2, 4], [5, 7, 11])
        assert fitted.slope == pytest.approx(2)
        assert fitted.intercept == pytest.approx(3)
        assert fitted.r_squared == pytest.approx(1)


class TestWrite:
    def test_between_markers(self, tmp_path):
        """Only the text between the markers is replaced, and missing markers raise an error."""
        page = tmp_path / "page.md"
        page.write_text("a\n<!-- x: begin -->\nold\n<!-- x: end -->\nb\n")
        replace_section("x", "new", page)
        assert page.read_text() == "a\n<!-- x: begin -->\n\nnew\n\n<!-- x: end -->\nb\n"
        with pytest.raises(ValueError, match="y: begin"):
            replace_section("y", "new", page)
