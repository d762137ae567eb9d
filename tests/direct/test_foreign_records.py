"""Objects of the store that another program has written among the records of upstreams."""

from pathlib import Path

import msgspec
import trio

from chivehold.fakes.platform_upstream import PlainUpstream
from tests.direct.harness import running_entry

DEPTH = 1_500
"""More levels than the decoder goes down."""
NESTED = msgspec.Raw(b'{"service": "plain", "zone": ' + b"[" * DEPTH + b"]" * DEPTH + b"}")


class TestForeignRecords:
    # Guards against the end of every process at an object whose value is nested too deeply.
    async def test_nested_value(self, tmp_path: Path) -> None:
        """An entry goes on serving while such an object stands among the upstreams."""
        async with running_entry(tmp_path) as harness:
            await harness.add_upstream(PlainUpstream("a"), "plain")
            await trio.sleep(0.3)
            harness.store.put("servers", "foreign", NESTED)
            await trio.sleep(0.5)
            assert (await harness.call("/get/x")).status == 200
