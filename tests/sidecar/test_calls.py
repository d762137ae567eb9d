from typing import Any

import msgspec
import pytest
import trio

from chivehold.core.identity import Role
from chivehold.core.wire import Reason
from chivehold.http_client import LinkError
from tests.sidecar.rig import Rig, attempt_id, start_rig, wait_until

SERVICE = (Role.SERVICE,)


async def started_requests(rig: Rig) -> list[str]:
    peer = rig.engines[Role.SERVICE].control
    events = (await rig.call_upstream(peer, "GET", "/history"))["events"]
    return [event["detail"] for event in events if event["kind"] == "started"]


async def inject_service_fault(rig: Rig, **fault: Any) -> None:
    await rig.inject_fault(Role.SERVICE, **fault)


class TestCall:
    async def test_concurrent_calls_get_their_own_answers(self) -> None:
        """More concurrent calls than places all run once, and each gets its own answer."""
        async with start_rig(SERVICE) as rig, trio.open_nursery() as nursery:
            peer, results = rig.sidecars[Role.SERVICE], {}

            async def call(number: int) -> None:
                offer = await peer.offer(number)
                results[number] = await peer.call(offer, f"/chairs/{number}?a=b")

            for number in range(12):
                nursery.start_soon(call, number)

            async def all_answered() -> bool:
                return len(results) == 12

            await wait_until(all_answered)
            for number, result in results.items():
                body = msgspec.json.decode(result.body)
                assert (result.status, result.reason) == (200, None)
                assert body["path"] == f"/chairs/{number}?a=b"
                assert body["attempt"] == f"request-{number}/1"
                assert ("content-type", "application/json") in result.headers
            assert sorted(await started_requests(rig)) == sorted(f"request-{n}" for n in range(12))
            assert (await peer.heartbeat()).places_free == 4

    async def test_repeated_attempt_runs_once(self) -> None:
        """An attempt that is sent again is refused as a duplicate and does not run again."""
        async with start_rig(SERVICE) as rig:
            peer = rig.sidecars[Role.SERVICE]
            offer = await peer.offer(1)
            assert (await peer.call(offer)).status == 200
            repeated = await peer.call(offer)
            assert (repeated.reason, repeated.started) == (Reason.DUPLICATE, False)
            assert await started_requests(rig) == ["request-1"]

    @pytest.mark.parametrize(
        ("fault", "reason", "started"),
        [
            ({"drop_before": 1}, Reason.ENGINE_FAILED, True),
            ({"drop_after": 1}, Reason.ENGINE_FAILED, True),
            ({"freeze": True}, Reason.DEADLINE, True),
            ({"die": True}, Reason.ENGINE_FAILED, False),
        ],
    )
    async def test_failure_reports_whether_the_call_may_have_run(
        self, fault: dict[str, Any], reason: Reason, started: bool
    ) -> None:
        """Only a call that cannot have reached the service is reported as not started."""
        async with start_rig(SERVICE) as rig:
            peer = rig.sidecars[Role.SERVICE]
            offer = await peer.offer(1, deadline_in_s=0.15)
            await inject_service_fault(rig, **fault)
            result = await peer.call(offer)
            assert (result.reason, result.started) == (reason, started)
            assert result.status == 0

    async def test_disconnected_caller_frees_the_place(self) -> None:
        """A call whose entry disconnects midway is cancelled and its place is free again."""
        async with start_rig(SERVICE, work_s=30.0) as rig:
            peer = rig.sidecars[Role.SERVICE]
            offer = await peer.offer(1, deadline_in_s=30.0)
            with trio.move_on_after(0.2):
                await peer.call(offer)
            assert await started_requests(rig) == ["request-1"]

            async def free() -> bool:
                return (await peer.heartbeat()).places_free == 4

            await wait_until(free, 1.0)

    @pytest.mark.parametrize(
        "call",
        [
            ("PUT", "no-slash", []),
            ("PUT", "/a b", []),
            ("PUT\r\n", "/a", []),
            ("PUT", "/a", [["x", "a\r\nb: c"]]),
            ("PUT", "/a"),
            "text",
        ],
    )
    async def test_malformed_call_is_rejected_without_running(self, call: Any) -> None:
        """A call that cannot be forwarded is answered with 400, does not run and holds nothing."""
        async with start_rig(SERVICE) as rig:
            peer = rig.sidecars[Role.SERVICE]
            offer = await peer.offer(1)
            headers = [
                ("chivehold-offer", msgspec.json.encode(offer).decode()),
                ("chivehold-call", msgspec.json.encode(call).decode()),
            ]
            answer = await peer.post("/v1/calls", b"", headers)
            assert (answer.status, msgspec.json.decode(answer.body)["reason"]) == (400, "malformed")
            assert (await peer.dump())["core"]["attempts"] == []
            assert await started_requests(rig) == []


class TestAnswerLimit:
    async def test_oversized_answer_is_a_failure(self) -> None:
        """An answer over the size limit is a failure that may have run; it is never cut short."""
        async with start_rig(SERVICE) as rig:
            await rig.start_sidecar(Role.SERVICE, max_answer_bytes=10)
            peer = rig.sidecars[Role.SERVICE]
            result = await peer.call(await peer.offer(1))
            assert (result.status, result.body, result.started) == (0, b"", True)
            assert result.attempt == attempt_id(1)


class TestUnreachable:
    async def test_killed_sidecar_refuses_connections(self) -> None:
        """A killed sidecar refuses connections, so that nothing reaches its service."""
        async with start_rig(SERVICE) as rig:
            peer = rig.sidecars[Role.SERVICE]
            offer = await peer.offer(1)
            await rig.kill_sidecar(Role.SERVICE)
            with pytest.raises(LinkError):
                await peer.call(offer)
            assert await started_requests(rig) == []
