"""Objects of the store that another program has written among the records of upstreams."""

from pathlib import Path

import msgspec
import pytest
import trio

from chivehold.fakes.metadata_store import MetadataStore
from chivehold.fakes.platform_upstream import PlainUpstream
from tests.direct.harness import EntryHarness, running_entry, wait_until

DEPTH = 1_500
"""More levels than the decoder goes down."""
NESTED = msgspec.Raw(b'{"service": "plain", "zone": ' + b"[" * DEPTH + b"]" * DEPTH + b"}")
LONE_SURROGATE = msgspec.Raw(rb'{"service": "plain", "zone": "caf\ud83d"}')


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

    # Guards against a list of upstreams that stays as it was because of one unreadable object.
    @pytest.mark.parametrize("foreign", [NESTED, LONE_SURROGATE], ids=["nested", "surrogate"])
    async def test_changes_beside_an_unreadable_object(
        self, tmp_path: Path, foreign: msgspec.Raw
    ) -> None:
        """Upstreams are listed and removed while such an object stands among them."""
        async with running_entry(tmp_path) as harness:
            first, second = PlainUpstream("a"), PlainUpstream("b")
            await harness.add_upstream(first, "plain")
            await trio.sleep(0.3)
            harness.store.put("servers", "foreign", foreign)
            await harness.add_upstream(second, "plain")
            await wait_until(lambda: listed(harness) == {"a", "b"})
            harness.store.remove("servers", "a")
            await wait_until(lambda: listed(harness) == {"b"})

    @pytest.mark.parametrize("foreign", [NESTED, LONE_SURROGATE], ids=["nested", "surrogate"])
    async def test_start_beside_an_unreadable_object(
        self, tmp_path: Path, foreign: msgspec.Raw
    ) -> None:
        """An entry that starts while such an object stands among the upstreams knows the others."""
        store = MetadataStore()
        store.put("servers", "foreign", foreign)
        async with running_entry(tmp_path, store) as harness:
            await harness.add_upstream(PlainUpstream("a"), "plain")
            await wait_until(lambda: listed(harness) == {"a"})

    async def test_record_that_becomes_unreadable(self, tmp_path: Path) -> None:
        """An upstream whose record is replaced by an unreadable one is used no more."""
        async with running_entry(tmp_path) as harness:
            await harness.add_upstream(PlainUpstream("a"), "plain")
            await wait_until(lambda: listed(harness) == {"a"})
            harness.store.put("servers", "a", LONE_SURROGATE)
            await wait_until(lambda: not listed(harness))


def listed(harness: EntryHarness) -> set[str]:
    return {upstream["upstream"] for upstream in harness.entry.dump()["upstreams"]}
