"""Tests the platform's stand-in as a separate process."""

import subprocess
import sys
from contextlib import contextmanager

import msgspec
import pytest

from chivehold.http_client import HttpClient
from chivehold.store.api import Unavailable
from chivehold.store.client import HttpObjectStore, VmList

TIMEOUT_S = 5.0


@contextmanager
def running_platform():
    command = [sys.executable, "-m", "chivehold.fakes.platform", "--address", "127.0.0.1:0"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            yield process.stdout.readline().split()[1]
        finally:
            process.kill()


class TestMain:
    async def test_injected_faults(self):
        """The stand-in serves objects and VMs, counts calls and applies the faults posted to it."""
        client = HttpClient()
        with running_platform() as address:

            async def post(path, value):
                body = msgspec.json.encode(value)
                call = {"step": "test", "timeout_s": TIMEOUT_S, "body": body}
                return (await client.call(address, "POST", path, **call)).status

            store = HttpObjectStore(address, client)
            assert (await store.put("k", "a", b"1", 0, "one")).unwrap().version == 1
            assert await post("/vms", {"live": ["a"], "leaving": ["b"]}) == 200
            assert (await store.list_vms()).unwrap() == VmList(("a",), ("b",))
            assert await post("/faults", {"outage": True}) == 200
            assert isinstance((await store.get("k", "a")).failure(), Unavailable)
            assert await post("/faults", {}) == 200
            assert (await store.get("k", "a")).unwrap().value == b"1"
            counts = await client.call(address, "GET", "/counts", step="test", timeout_s=TIMEOUT_S)
            assert msgspec.json.decode(counts.body) == {"put": 1, "vms": 1, "get": 2}
            for path, value in (("/faults", {"outages": 1}), ("/faults", []), ("/vms", {})):
                assert await post(path, value) == 400
            assert await post("/none", {}) == 404
        await client.aclose()

    @pytest.mark.parametrize("headers", [(), (("if-match", "x"), ("operation-id", "one"))])
    async def test_malformed_write(self, headers):
        """A write without a valid condition and an operation id is refused."""
        client = HttpClient()
        call = {"step": "test", "timeout_s": TIMEOUT_S, "headers": headers}
        with running_platform() as address:
            answer = await client.call(address, "PUT", "/objects/k/a", **call)
        assert answer.status == 400
        await client.aclose()
