"""The reader of the store's answers, on a corpus and mutants of it.

Each file is the value of the header with the store's era, a line feed, and a body.
"""

from typing import Any, cast

import pytest
from returns.result import Failure, Success

from chivehold.http_client import HttpClient, HttpResponse
from chivehold.platform import PlatformStore
from tests.fuzz.mutations import corpus, mutants

MUTANTS = 200
STATUSES = (200, 404, 409, 500)


class AnsweringClient:
    """Answers each call with the same response."""

    def __init__(self, response: HttpResponse) -> None:
        self._response = response

    async def call(self, peer: str, method: str, path: str, **options: Any) -> HttpResponse:
        return self._response


def store_that_answers(status: int, mutant: bytes) -> PlatformStore:
    era, _, body = mutant.partition(b"\n")
    headers = (("store-era", era.decode("latin-1")),)
    client = AnsweringClient(HttpResponse(status, headers, body))
    return PlatformStore("127.0.0.1:1", cast(HttpClient, client), frozenset(("own",)))


class TestStoreReader:
    @pytest.mark.parametrize(
        "data", [pytest.param(data, id=name) for name, data in corpus("store")]
    )
    async def test_any_answer(self, data: bytes) -> None:
        """Each call gives a result, whatever the store answers."""
        for number, mutant in enumerate(mutants(data, 7, MUTANTS)):
            store = store_that_answers(STATUSES[number % len(STATUSES)], mutant)
            results = [
                await store.list("own"),
                await store.watch(["servers"], 1, 0.1),
                await store.get("own", "a"),
                await store.put("own", "a", b"v", 1, "op"),
                await store.delete("own", "a", 1, "op"),
            ]
            assert all(isinstance(result, Success | Failure) for result in results)
