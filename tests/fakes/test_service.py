from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import msgspec
import pytest
import trio

from chivehold.fakes.server import StandInAddresses
from chivehold.fakes.service import run_service
from chivehold.fakes.service_app import ServiceOptions
from chivehold.http_client import HttpClient, LinkBroken


@asynccontextmanager
async def running_service() -> AsyncIterator[StandInAddresses]:
    async with trio.open_nursery() as nursery:
        yield await nursery.start(partial(run_service, ServiceOptions("desk", work_s=0.01)))
        nursery.cancel_scope.cancel()


async def call(peer: str, method: str, path: str, key: str = "", body: Any = None) -> Any:
    headers = [("idempotency-key", key), ("chivehold-attempt", f"{key}/1")] if key else []
    raw = b"" if body is None else msgspec.json.encode(body)
    answer = await HttpClient().call(
        peer, method, path, step="test", timeout_s=3.0, headers=headers, body=raw
    )
    return msgspec.json.decode(answer.body)


async def started_keys(addresses: StandInAddresses) -> list[str]:
    events = (await call(addresses.control, "GET", "/history"))["events"]
    return [event["detail"] for event in events if event["kind"] == "started"]


class TestService:
    async def test_counts_runs_by_key(self) -> None:
        """Each answer reports its key, its run number and its attempt."""
        async with running_service() as addresses:
            answers = [await call(addresses.data, "PUT", "/chairs/3?day=1", key) for key in "aab"]
            assert [answer["run"] for answer in answers] == [1, 2, 1]
            assert answers[0]["path"] == "/chairs/3?day=1"
            assert answers[2]["attempt"] == "b/1"
            assert await started_keys(addresses) == ["a", "a", "b"]

    @pytest.mark.parametrize(("fault", "ran"), [("drop_before", []), ("drop_after", ["a"])])
    async def test_drops_connections(self, fault: str, ran: list[str]) -> None:
        """A connection that breaks before or after the run looks the same to the caller."""
        async with running_service() as addresses:
            await call(addresses.control, "POST", "/faults", body={fault: 1})
            with pytest.raises(LinkBroken):
                await call(addresses.data, "POST", "/x", "a")
            assert await started_keys(addresses) == ran
            assert (await call(addresses.data, "POST", "/x", "b"))["run"] == 1

    async def test_status_reports_leaving(self) -> None:
        """The status reports the load and whether the service is leaving."""
        async with running_service() as addresses:
            await call(addresses.control, "POST", "/faults", body={"leaving": True})
            status = await call(addresses.data, "GET", "/status")
            assert status == {"load": 0, "leaving": True}
