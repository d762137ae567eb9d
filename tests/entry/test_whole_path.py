"""Requests through separate processes, from the caller to the engines and back."""

import json
import time
from contextlib import suppress

import trio

from chivehold.fakes.output import expected_tokens
from chivehold.rpc import chivehold_pb2 as pb
from tests.entry.deployed import (
    PROMPT,
    Deployed,
    answer_text,
    call_operators,
    completion,
    post,
    start_entry,
    wait_ready,
)
from tests.processes import Programs


class TestWholePath:
    async def test_streamed_completion_is_complete(self, deployed: Deployed) -> None:
        """A streamed completion carries every token in order and ends as complete."""
        response = await post(deployed.callers, "/v1/completions", completion(stream=True))
        assert response.status == 200, response.content
        assert answer_text(response.content) == "".join(expected_tokens(PROMPT, 40))

    async def test_service_call_is_complete(self, deployed: Deployed) -> None:
        """A call of a plain service runs once and its answer is returned unchanged."""
        response = await post(deployed.callers, "/services/forja/builds?full=1", b"{}")
        assert response.status == 200, response.content
        answer = json.loads(response.content)
        assert (answer["method"], answer["path"], answer["run"]) == ("POST", "/builds?full=1", 1)
        assert dict(response.headers)[b"chivehold-outcome"] == b"answered"


POST = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
GET = b"GET /services/forja/x HTTP/1.1\r\nhost: x\r\n"
HOSTILE = {
    b"\x00\xff\x16\x03\x01" * 50: b"400",
    POST + b"content-length: -5\r\n\r\n": b"400",
    POST + b"transfer-encoding: chunked\r\n\r\nZZZ\r\n": b"400",
    POST + b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n": b"400",
    POST + b"content-length: 99999999\r\n\r\n" + b"x" * 5_000_000: b"413",
    GET + b"a: " + b"b" * 20_000 + b"\r\n\r\n": b"431",
    GET + b"a: " + b"b" * 200_000: b"4",
    GET + b'a: \x80"' + b'"' * 9_000 + b"\r\n\r\n": b"200",
    GET.replace(b"/x", b"/../x") + b"\r\n": b"400",
    b"CONNECT a:1 HTTP/1.1\r\nhost: x\r\n\r\n": b"404",
    GET + b"connection: upgrade\r\nupgrade: websocket\r\nsec-websocket-version: 13\r\n"
    b"sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n": b"403",
}


class TestHostileCallers:
    async def test_raw_bytes(self, deployed: Deployed) -> None:
        """Invalid bytes get an immediate answer; the entry keeps working and holds no request."""
        statuses = {}

        async def send(content: bytes) -> None:
            host, _, port = deployed.callers.partition(":")
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                with suppress(trio.BrokenResourceError):
                    await stream.send_all(content)
                statuses[content] = (await stream.receive_some(64)).partition(b" ")[2]

        with trio.fail_after(4):
            async with trio.open_nursery() as nursery:
                for content in HOSTILE:
                    nursery.start_soon(send, content)
        for content, status in HOSTILE.items():
            assert statuses[content].startswith(status), content[:80]
        assert (await post(deployed.callers, "/v1/completions", completion())).status == 200
        dump = json.loads((await call_operators(deployed.control, "Dump", pb.DumpRequest())).json)
        assert dump["core"]["requests"] == {}


class TestPlatform:
    async def test_claimed_call_runs_once(self, deployed: Deployed, programs: Programs) -> None:
        """A call with a key runs once across all entries, and not at all in a platform outage."""
        headers = [("Idempotency-Key", "reservation-1"), ("Chivehold-First-Sent", _now_ms())]
        first = await post(deployed.callers, "/services/forja/reservations", b"{}", headers)
        other = start_entry(programs, "entry-2", deployed.platform)
        callers, control, _ = other.addresses()
        await wait_ready(control, len(deployed.sidecars))
        again = await post(callers, "/services/forja/reservations", b"{}", headers)
        await post(deployed.platform, "/faults", b'{"outage": true}')
        late = [("Idempotency-Key", "reservation-2"), ("Chivehold-First-Sent", _now_ms())]
        refused = await post(callers, "/services/forja/reservations", b"{}", late)
        statuses = [answer.status for answer in (first, again, refused)]
        assert statuses == [200, 409, 503]
        assert json.loads(again.content)["error"]["outcome"] == "already_answered"
        assert (await post(callers, "/v1/completions", completion())).status == 200

    async def test_declarations_reach_every_node(
        self, deployed: Deployed, programs: Programs
    ) -> None:
        """Every sidecar gets the declarations within 3 s.

        An entry that starts during an outage of the platform fetches them from a sidecar.
        """
        with trio.fail_after(3):
            while len(set(await _revisions(deployed.control))) > 1:
                await trio.sleep(0.02)
        await post(deployed.platform, "/faults", b'{"outage": true}')
        peers = [deployed.upstreams["lector-d1"].control_address]
        other = start_entry(programs, "entry-2", deployed.platform, peer_addresses=peers)
        callers, control, _ = other.addresses()
        await wait_ready(control, len(deployed.sidecars))
        assert (await post(callers, "/v1/completions", completion())).status == 200
        assert len(set(await _revisions(control))) == 1


async def _revisions(control: str) -> list[int]:
    return [
        node.revision
        for node in (await call_operators(control, "Status", pb.StatusRequest())).nodes
    ]


def _now_ms() -> str:
    return str(int(time.time() * 1000))
