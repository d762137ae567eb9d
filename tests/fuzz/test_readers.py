"""Readers of bytes from outside, on a corpus and mutants of it.

A reader may say that it cannot read them; it raises nothing else, and what it returns can be used.
"""

from random import Random

import pytest
from returns.result import Success

from chivehold.core.direct.events import EventSplitter, StreamEvent, is_newer_event
from chivehold.core.direct.gossip import GossipItem
from chivehold.core.direct.messages import RawHeaders
from chivehold.core.direct.organisations import read_api_key
from chivehold.core.direct.routes import RouteIndex
from chivehold.exceptions import Malformed
from chivehold.http_client import HttpClient, LinkError
from chivehold.platform import PlatformDialect, decode_configuration, decode_upstream
from chivehold.rpc.convert_gossip import decode_fact, decode_message
from tests.fuzz.mutations import chunks, corpus, mutants

MUTANTS = 300
DIALECT = PlatformDialect()


def cases(reader: str) -> pytest.MarkDecorator:
    files = [pytest.param(data, id=name) for name, data in corpus(reader)]
    return pytest.mark.parametrize("data", files)


def split(data: bytes, rng: Random) -> tuple[list[StreamEvent], bytes]:
    splitter = EventSplitter()
    events = [event for chunk in chunks(data, rng) for event in splitter.feed(chunk)]
    return events, splitter.remainder


def headers_of(lines: list[bytes]) -> RawHeaders:
    fields = (line.partition(b":") for line in lines)
    return tuple((name.strip().lower(), value.strip()) for name, _, value in fields)


class TestReaders:
    @cases("events")
    def test_events(self, data: bytes) -> None:
        """No byte is lost or added, chunks do not matter, and any two ids can be compared."""
        for seed, mutant in enumerate(mutants(data, 1, MUTANTS)):
            events, remainder = split(mutant, Random(seed))
            assert b"".join(event.raw for event in events) + remainder == mutant
            last_id = None
            for event in events:
                if is_newer_event(event.event_id, last_id):
                    last_id = event.event_id

    @cases("responses")
    def test_heads(self, data: bytes) -> None:
        """Fields of any value are read or passed over."""
        for mutant in mutants(data, 2, MUTANTS):
            first, *lines = mutant.split(b"\n")
            status = int(first) if first in (b"200", b"421", b"503") else 500
            headers = headers_of(lines)
            DIALECT.read_response(status, headers)
            DIALECT.read_signals(status, headers)
            DIALECT.response_headers(headers)
            DIALECT.read_request(headers)

    @cases("bodies")
    def test_bodies(self, data: bytes) -> None:
        """Bodies of engines give a value or none."""
        for mutant in mutants(data, 3, MUTANTS):
            DIALECT.read_hold(mutant)
            DIALECT.read_kv_handle(mutant)
            DIALECT.read_report(mutant)

    @cases("upstreams")
    async def test_upstreams(self, data: bytes) -> None:
        """A record is refused, or a call to its address can be tried."""
        client = HttpClient()
        for mutant in mutants(data, 4, MUTANTS):
            record = decode_upstream("u1", mutant)
            if isinstance(record, Success):
                await try_call(client, record.unwrap().address)
        await client.aclose()

    @cases("configurations")
    def test_configurations(self, data: bytes) -> None:
        """A configuration is refused, or requests can be matched against it and their callers."""
        for mutant in mutants(data, 5, MUTANTS):
            table = decode_configuration("main", mutant)
            if isinstance(table, Success):
                routes = RouteIndex(table.unwrap())
                routes.find("example.org", "/any/path")
                routes.identify(read_api_key([b"key-1"]))
                for organisation in routes.table.organisations:
                    headers = DIALECT.identified_headers((), organisation.name)
                    assert not set(b"\r\n\0") & set(headers[0][1])

    @cases("datagrams")
    def test_datagrams(self, data: bytes) -> None:
        """A message is refused, or each of its facts is refused, unknown or read."""
        for mutant in mutants(data, 6, MUTANTS):
            try:
                message = decode_message(mutant, 100.0)
            except Malformed:
                continue
            for item in message.items:
                try_decode_fact(item)


def try_decode_fact(item: GossipItem) -> None:
    try:
        decode_fact(item)
    except Malformed:
        return


async def try_call(client: HttpClient, address: str) -> None:
    try:
        await client.call(address, "GET", "/", step="fuzz", timeout_s=0.01)
    except LinkError:
        return
