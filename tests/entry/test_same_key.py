"""The same idempotency key sent to two entries at the same time."""

import json
import time

import trio

from tests.entry.deployed import Deployed, post, start_entry, wait_ready
from tests.processes import Programs


class TestSameKey:
    async def test_duplicate_does_not_affect_first_request(
        self, deployed: Deployed, programs: Programs
    ) -> None:
        """Of two concurrent requests with one key, one is answered and the other is refused."""
        other = start_entry(programs, "entry-2", deployed.platform)
        callers, control, _ = other.addresses()
        await wait_ready(control, len(deployed.sidecars))
        headers = [
            ("Idempotency-Key", "reservation-1"),
            ("Chivehold-First-Sent", str(int(time.time() * 1000))),
            ("Chivehold-Idempotent", "false"),
        ]
        outcomes = []

        async def send(entry: str) -> None:
            answer = await post(entry, "/services/forja/reservations", b"{}", headers)
            outcomes.append(dict(answer.headers)[b"chivehold-outcome"].decode())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, deployed.callers)
            nursery.start_soon(send, callers)
        history = await post(deployed.engines["forja-1"], "/history", b"", method="GET")
        events = json.loads(history.content)["events"]
        assert [event["kind"] for event in events].count("started") == 1
        assert outcomes.count("answered") == 1, outcomes
