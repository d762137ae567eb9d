"""Operators' changes to declarations under races, outages and lost answers."""

from random import Random

import pytest
import trio

from chivehold.core.declarations import DeclarationReplica
from chivehold.fakes.object_store import NO_FAULTS, Faults, MemoryObjectStore
from chivehold.store.declaration_apply import ApplyRequest, apply
from tests.core.declared_examples import deployment, service

FORJA, LECTOR = service(), deployment()


class Operator:
    def __init__(self, store):
        self.store = store
        self.replica = DeclarationReplica()

    async def apply(self, *specs, delete=(), operation_id="one", **fields):
        request = ApplyRequest(specs, delete, operation_id, **fields)
        return await apply(self.store, self.replica, request, Random(1))

    async def kinds(self, *specs, **fields):
        return [change.kind for change in (await self.apply(*specs, **fields)).changes]


@pytest.fixture
def operator():
    return Operator(MemoryObjectStore())


class TestApply:
    async def test_lifecycle(self, operator):
        """Accepted changes are in force at the returned revision."""
        first = await operator.apply(FORJA, LECTOR)
        assert [change.kind for change in first.changes] == ["created", "created"]
        assert operator.replica.revision == first.revision == operator.store.revision
        assert operator.replica.declarations().services == (FORJA,)
        changed = FORJA._replace(default_class="hook")
        assert await operator.kinds(changed, LECTOR, operation_id="two") == ["updated", "unchanged"]
        assert await operator.kinds(delete=("forja",), operation_id="three") == ["deleted"]
        assert operator.replica.declarations().services == ()

    async def test_invalid(self, operator):
        """An invalid request writes nothing and reports each problem."""
        result = await operator.apply(FORJA, LECTOR._replace(model=""))
        assert [change.kind for change in result.changes] == ["invalid", "invalid"]
        assert "lector: model: expected" in result.changes[1].message
        assert await operator.kinds(FORJA, delete=("forja",)) == ["invalid", "invalid"]
        assert await operator.kinds(FORJA, operation_id="") == ["invalid"]
        assert operator.store.revision == 0

    async def test_dry_run(self, operator):
        """A dry run returns the change and its diff and writes nothing."""
        (change,) = (await operator.apply(FORJA, dry_run=True)).changes
        assert (change.kind, operator.store.revision) == ("created", 0)
        assert '+  "name": "forja",' in change.diff

    async def test_repeated(self, operator):
        """A repeated request changes nothing, even if others have written since."""
        await operator.apply(FORJA)
        await operator.apply(FORJA._replace(default_class="hook"), operation_id="two")
        assert await operator.kinds(FORJA) == ["unchanged"]
        await operator.apply(delete=("forja",), operation_id="three")
        assert await operator.kinds(FORJA) == ["unchanged"]
        await operator.apply(FORJA, operation_id="four")
        assert await operator.kinds(delete=("forja",), operation_id="three") == ["unchanged"]
        assert operator.store.revision == 4

    async def test_race_on_one(self, autojump_clock):
        """Exactly one of several racing operators succeeds; the others get a conflict."""
        store = MemoryObjectStore(Faults(delay_s=0.01))
        kinds = []

        async def race(number):
            kinds.extend(
                await Operator(store).kinds(service(port=9000 + 10 * number), **ids(number))
            )

        def ids(number):
            return {"operation_id": f"operator {number}"}

        async with trio.open_nursery() as nursery:
            for number in range(5):
                nursery.start_soon(race, number)
        assert sorted(kinds) == ["conflict"] * 4 + ["created"]

    async def test_expected_version(self, operator):
        """A version other than the expected one is a conflict."""
        await operator.apply(FORJA)
        changed = FORJA._replace(default_class="hook")
        expected = {"expected_versions": {"forja": 0}}
        assert await operator.kinds(changed, operation_id="two", **expected) == ["conflict"]

    async def test_race_on_two(self, operator):
        """The message names a concurrent change that declares the same upstream elsewhere."""
        other = Operator(operator.store)
        clashing = service("loandesk", upstreams=FORJA.upstreams)
        write = operator.store.put

        async def race(*arguments):
            operator.store.put = write
            await other.apply(clashing, operation_id="two")
            return await write(*arguments)

        operator.store.put = race
        (change,) = (await operator.apply(FORJA)).changes
        assert change.kind == "created"
        assert change.message.startswith("in force, but forja: forja-1: expected an upstream")

    @pytest.mark.parametrize(
        ("faults", "expected"),
        [
            (Faults(lose_answer_next=1), ["created", "created"]),
            (Faults(lose_answers=0.4, seed=3), None),
            (Faults(outage=True), ["refused", "refused"]),
            (Faults(writes_per_s=1), ["created", "refused"]),
        ],
    )
    async def test_faults(self, operator, faults, expected, autojump_clock):
        """Accepted changes are written, refused ones are not, unsure ones may be either."""
        operator.store.set_faults(faults)
        kinds = await operator.kinds(FORJA, LECTOR)
        assert expected is None or kinds == expected
        operator.store.set_faults(NO_FAULTS)
        written = {
            stored.name for stored in (await operator.store.list("declaration")).unwrap().objects
        }
        for name, kind in zip(("forja", "lector"), kinds, strict=True):
            assert kind == "unsure" or (kind == "created") == (name in written)
        await operator.apply(FORJA, LECTOR)
        assert len((await operator.store.list("declaration")).unwrap().objects) == 2

    async def test_unsure(self, operator, autojump_clock):
        """A write that cannot be read back is unsure, and later writes are not attempted."""
        get = operator.store.get
        operator.store.set_faults(Faults(lose_answer_next=9))
        operator.store.get = self.no_answer
        assert await operator.kinds(FORJA, LECTOR) == ["unsure", "refused"]
        operator.store.get = get
        operator.store.set_faults(NO_FAULTS)
        assert await operator.kinds(FORJA, LECTOR) == ["unchanged", "created"]

    async def no_answer(self, kind, name):
        return await MemoryObjectStore(Faults(outage=True)).get(kind, name)
