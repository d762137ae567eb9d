"""Requests to plain services through one entry, with faulty upstreams."""

from pathlib import Path

import pytest
import trio

from chivehold.fakes.platform_upstream import PlainUpstream
from tests.direct.harness import EntryHarness, running_entry, wait_until


async def two_upstreams(harness: EntryHarness) -> list[PlainUpstream]:
    upstreams = [PlainUpstream("x"), PlainUpstream("y")]
    for upstream in upstreams:
        await harness.add_upstream(upstream, "plain")
    await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 2)
    return upstreams


def runs(upstreams: list[PlainUpstream], request: str = "r1") -> int:
    return sum(upstream.runs.count(request) for upstream in upstreams)


class TestForwarding:
    async def test_request_is_unchanged(self, tmp_path: Path) -> None:
        """Method, target and body are forwarded unchanged, and the deadline as the time left."""
        async with running_entry(tmp_path) as harness:
            upstreams = await two_upstreams(harness)
            response = await harness.call("/post/a%20b?q=1&r", method="POST", body=b"body")
            assert response.status == 200
            (seen,) = [seen for upstream in upstreams for seen in upstream.received]
            assert (seen["method"], seen["target"]) == ("POST", "/post/a%20b?q=1&r")
            assert seen["body"] == "body"
            assert seen["x-chivehold-request-id"] == "r1"
            assert 2_000 < int(seen["x-chivehold-deadline-ms"]) <= 3_000

    async def test_response_is_unchanged(self, tmp_path: Path) -> None:
        """Status, signature and body are returned unchanged, without added headers."""
        async with running_entry(tmp_path) as harness:
            upstream, _ = await two_upstreams(harness)
            response = await harness.call("/get/a")
            assert response.header("x-chivehold-server-stamp") in ("by.x", "by.y")
            assert response.body.endswith(b" ran r1")
            assert response.header("date") is None
            assert response.header("server") is None
            assert upstream.name

    async def test_forged_headers_are_dropped(self, tmp_path: Path) -> None:
        """A caller can neither set nor remove the headers that only the system may set."""
        async with running_entry(tmp_path) as harness:
            upstreams = await two_upstreams(harness)
            forged = {
                "x-chivehold-stage": "prefill",
                "x-chivehold-hold": "h",
                "x-chivehold-kv-from": "1.2.3.4:5/h",
                "x-chivehold-kv-backup": "1.2.3.4:5",
                "x-chivehold-pin-ms": "5",
                "x-chivehold-expect-instance": "unknown",
                "x-chivehold-model": "m",
                "connection": "x-chivehold-request-id, x-chivehold-model, x-private",
                "x-private": "1",
                "x-other": "kept",
            }
            assert (await harness.call("/get/a", headers=forged)).status == 200
            (seen,) = [seen for upstream in upstreams for seen in upstream.received]
            assert seen["x-chivehold-expect-instance"] in ("x", "y")
            assert (seen["x-chivehold-model"], seen["x-other"]) == ("m", "kept")
            for name in ("stage", "hold", "kv-from", "kv-backup", "pin-ms"):
                assert f"x-chivehold-{name}" not in seen
            assert "x-private" not in seen


class TestIdempotent:
    @pytest.mark.parametrize("fault", ["cut", "unsigned", "refuse", "silent"])
    async def test_second_upstream_answers(self, tmp_path: Path, fault: str) -> None:
        """If one upstream fails, the caller gets the response of the other."""
        async with running_entry(tmp_path) as harness:
            upstreams = await two_upstreams(harness)
            setattr(upstreams[0], fault, True)
            for number in range(6):
                response = await harness.call("/get/a", f"r{number}")
                assert (response.status, response.body) == (200, f"y ran r{number}".encode())

    async def test_response_to_another_request_is_discarded(self, tmp_path: Path) -> None:
        """A response that carries another request's id is not returned."""
        async with running_entry(tmp_path) as harness:
            upstreams = await two_upstreams(harness)
            upstreams[0].answers_as_request = "r99"
            for number in range(6):
                response = await harness.call("/get/a", f"r{number}")
                assert response.header("x-chivehold-request-id") == f"r{number}"
                assert response.body == f"y ran r{number}".encode()

    async def test_number_of_upstreams_is_limited(self, tmp_path: Path) -> None:
        """After two failures the third upstream is not tried if two are allowed."""
        async with running_entry(tmp_path) as harness:
            upstreams = await two_upstreams(harness)
            upstreams.append(PlainUpstream("z"))
            await harness.add_upstream(upstreams[2], "plain")
            for upstream in upstreams:
                upstream.status = 500
            response = await harness.call("/get/a")
            assert response.status == 500
            assert response.header("x-chivehold-server-stamp")
            assert runs(upstreams) == 2

    async def test_retries_stay_within_the_budget(self, tmp_path: Path) -> None:
        """If every attempt fails, the retries stay within the budget."""
        async with running_entry(tmp_path, retry_extra=4.0, retry_window_s=2.0) as harness:
            await wait_until(lambda: harness.entry.dump()["entries"] == 1)
            upstreams = await two_upstreams(harness)
            for upstream in upstreams:
                upstream.status = 500
            for number in range(30):
                await harness.call("/get/a", f"r{number}")
            assert sum(len(upstream.runs) for upstream in upstreams) <= 30 + 4 + 6


class TestNonIdempotent:
    @pytest.mark.parametrize("fault", ["cut", "unsigned", "silent"])
    async def test_runs_once(self, tmp_path: Path, fault: str) -> None:
        """A request that may have run is not sent again, and its refusal has no retry-after."""
        async with running_entry(tmp_path) as harness:
            upstreams = await two_upstreams(harness)
            for upstream in upstreams:
                setattr(upstream, fault, True)
            response = await harness.call("/short/a", method="POST", body=b"x")
            assert response.status in (502, 504)
            assert response.header("retry-after") is None
            assert runs(upstreams) == 1

    async def test_refused_request_goes_to_another_upstream(self, tmp_path: Path) -> None:
        """A request that an upstream has refused to run goes to another upstream."""
        async with running_entry(tmp_path) as harness:
            upstreams = await two_upstreams(harness)
            upstreams[0].refuse = True
            for number in range(4):
                response = await harness.call("/post/a", f"r{number}", method="POST", body=b"x")
                assert response.body == f"y ran r{number}".encode()

    async def test_all_refuse(self, tmp_path: Path) -> None:
        """If all upstreams refuse, the request has not run and the response has a retry-after."""
        async with running_entry(tmp_path) as harness:
            upstreams = await two_upstreams(harness)
            for upstream in upstreams:
                upstream.refuse = True
            response = await harness.call("/post/a", method="POST", body=b"x")
            assert response.status == 503
            assert float(response.header("retry-after") or 0) > 0
            assert runs(upstreams) == 0

    async def test_answered_at_the_timeout(self, tmp_path: Path) -> None:
        """A request that exceeds its route's timeout is answered at the timeout."""
        async with running_entry(tmp_path) as harness:
            upstreams = await two_upstreams(harness)
            for upstream in upstreams:
                upstream.work_s = 2.0
            started_at = trio.current_time()
            response = await harness.call("/short/a", method="POST", body=b"x")
            assert response.status == 504
            assert 0.25 < trio.current_time() - started_at < 0.6


class TestDisconnect:
    async def test_upstream_call_is_cancelled(self, tmp_path: Path) -> None:
        """When a caller disconnects, its upstream call is cancelled within half a second."""
        async with running_entry(tmp_path) as harness:
            upstreams = await two_upstreams(harness)
            for upstream in upstreams:
                upstream.work_s = 5.0
            with trio.move_on_after(0.2):
                await harness.call("/get/a", "leaver")
            await wait_until(
                lambda: any("leaver" in upstream.abandoned_requests for upstream in upstreams), 0.5
            )


class TestRefusals:
    async def test_no_route(self, tmp_path: Path) -> None:
        """A path without a route is answered with 404."""
        async with running_entry(tmp_path) as harness:
            assert (await harness.call("/nowhere/")).status == 404

    async def test_no_upstream(self, tmp_path: Path) -> None:
        """Without an upstream the request is refused at once, with a retry-after."""
        async with running_entry(tmp_path) as harness:
            started_at = trio.current_time()
            response = await harness.call("/get/a")
            assert (response.status, response.header("retry-after")) == (503, "0.50")
            assert trio.current_time() - started_at < 0.3

    async def test_reused_address(self, tmp_path: Path) -> None:
        """An upstream does not run a request meant for the former owner of its address."""
        async with running_entry(tmp_path) as harness:
            stranger = PlainUpstream("stranger")
            address = await harness.listen(stranger)
            harness.list_upstream(PlainUpstream("gone"), "plain", address)
            await wait_until(lambda: harness.entry.dump()["upstreams"])
            assert (await harness.call("/get/a")).status == 503
            assert stranger.runs == []
