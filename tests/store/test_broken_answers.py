"""A store that sends answers which are none in the protocol, or a part of one."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from returns.result import Result

from chivehold.http_client import HttpClient
from chivehold.platform.store import PlatformStore
from chivehold.store.api import ObjectStore, Unavailable, Unsure
from chivehold.store.client import HttpObjectStore
from tests.direct.raw_upstream import LONG_BODY, Ending, RawUpstream, raw_peer
from tests.malformed_heads import MALFORMED_HEADS

OpenStore = Callable[[str, HttpClient], ObjectStore]

STORED = (
    b'{"metadata": {"name": "a", "revision": 7}, '
    b'"spec": {"value": "x", "operation": "one"}, '
    b'"kind": "kind", "name": "a", "value": "eA==", "version": 7, "uid": "u", '
    b'"operations": ["one"]}'
)


def open_platform_store(address: str, client: HttpClient) -> ObjectStore:
    return PlatformStore(address, client, frozenset(("kind",)))


STORES = pytest.mark.parametrize("open_store", [open_platform_store, HttpObjectStore])


@asynccontextmanager
async def opened(open_store: OpenStore, raw: RawUpstream) -> AsyncIterator[ObjectStore]:
    client = HttpClient()
    async with raw_peer(raw) as address:
        yield open_store(address, client)
    await client.aclose()


def answering(head: bytes) -> RawUpstream:
    return RawUpstream(
        lambda request: head + b"\r\nconnection: close\r\n\r\n" + STORED,
        Ending.ORDERLY,
        answers_calls=True,
    )


def problem(result: Result[object, object]) -> type:
    return type(result.failure())


class TestMalformedHead:
    # Guards against a head that is none in the protocol and whose answer is believed.
    @STORES
    @pytest.mark.parametrize("head", MALFORMED_HEADS)
    async def test_answer_is_none(self, open_store: OpenStore, head: bytes) -> None:
        """A read has failed; nobody knows of a write."""
        async with opened(open_store, answering(head)) as store:
            assert problem(await store.get("kind", "a")) is Unavailable
            assert problem(await store.put("kind", "a", b"x", 0, "one")) is Unsure

    @STORES
    async def test_sound_head(self, open_store: OpenStore) -> None:
        """The same body after a sound head is an answer."""
        async with opened(open_store, answering(b"HTTP/1.1 200 OK")) as store:
            assert (await store.put("kind", "a", b"x", 0, "one")).unwrap().name == "a"


class TestEarlyAnswer:
    # Guards against an answer to a write that counts as whole although its connection broke.
    @STORES
    async def test_reset_while_the_value_is_sent(self, open_store: OpenStore) -> None:
        """Nobody knows of a write whose answer has no length and whose connection was reset."""
        raw = RawUpstream(
            lambda request: b"HTTP/1.1 200 OK\r\n\r\n" + STORED,
            Ending.RESET,
            is_early=True,
            answers_calls=True,
        )
        async with opened(open_store, raw) as store:
            assert problem(await store.put("kind", "a", LONG_BODY, 0, "one")) is Unsure
