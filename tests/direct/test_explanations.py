"""``chivehold explain`` on a whole entry: what it says, and that it changes nothing."""

import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio

from chivehold.fakes.platform_upstream import ModelEngine, PlainUpstream
from tests.core.direct.test_explanation import state
from tests.direct.harness import HOST, ROUTES, EntryHarness, route, running_entry, wait_until

ACME = {"name": "acme", "apiKeys": ["secret-1"], "priority": 0}


async def start(harness: EntryHarness) -> None:
    for name in ("x", "y"):
        await harness.add_upstream(PlainUpstream(name), "plain")
    await harness.add_upstream(ModelEngine("p", "prefill"), "model")
    for name in ("d1", "d2"):
        await harness.add_upstream(ModelEngine(name, "decode"), "model")
    await wait_until(lambda: len(harness.entry.dump()["upstreams"]) == 5)
    routes = [*ROUTES, route("/open/", "idempotent", "plain", anonymous=True, priority=3)]
    await harness.apply(2, routes, [ACME])


def explain(harness: EntryHarness, path: str, **fields: Any) -> dict[str, Any]:
    return harness.entry.explain({"host": HOST, "path": path, **fields})


def steady(dump: dict[str, Any]) -> dict[str, Any]:
    """Return a dump without ages, which change with the time alone."""
    return {
        key: steady(value) if isinstance(value, dict) else value
        for key, value in dump.items()
        if not key.endswith("age_s")
    }


class TestExplain:
    async def test_refusals(self, tmp_path: Path) -> None:
        """Guards against an explanation of requests that would be refused at once."""
        async with running_entry(tmp_path) as harness:
            await start(harness)
            assert explain(harness, "/none/a")["outcome"].startswith("404")
            assert explain(harness, "/get/a")["outcome"] == "401: key missing"
            assert explain(harness, "/get/a", organisation="bolt")["outcome"].startswith("401")
            keyed = explain(harness, "/get/a", headers={"X-Api-Key": "secret-1"})
            assert keyed["organisation"] == "acme"
            assert "secret-1" not in repr(keyed)

    async def test_plain(self, tmp_path: Path) -> None:
        """Guards against an explanation that names another upstream than gets the request."""
        async with running_entry(tmp_path) as harness:
            await start(harness)
            for number in range(5):
                explained = explain(harness, "/get/a", organisation="acme")
                response = await harness.call(
                    "/get/a", f"r{number}", headers={"x-api-key": "secret-1"}
                )
                first = explained["candidates"][0]
                assert (first["rank"], explained["priority"]) == (1, 0)
                assert response.status == 200
            assert {item["upstream"] for item in explained["candidates"]} == {"x", "y"}
            assert explain(harness, "/open/a")["priority"] == 3

    async def test_stream(self, tmp_path: Path) -> None:
        """Guards against a stream explained without its memory, queue or prefill."""
        async with running_entry(tmp_path) as harness:
            await start(harness)
            explained = explain(
                harness, "/tell/a", organisation="acme", prompt_tokens=900, output_tokens=100
            )
            assert (explained["tokens"], explained["queue_position"]) == (1_000, 1)
            assert explained["prefill"] == "p"
            assert explained["prefill_candidates"][0]["expected_s"] > 0
            assert {item["upstream"] for item in explained["candidates"] if item["rank"]} == {
                "d1",
                "d2",
            }
            gone = explain(harness, "/tell/a", organisation="acme", software="v9")
            assert gone["outcome"] == "503: version_gone"
            assert any("free memory" in item for item in explained["unknown"])

    async def test_nothing_changes(self, tmp_path: Path) -> None:
        """Guards against random numbers drawn, and state created, by an explanation."""
        async with running_entry(tmp_path) as harness:
            await start(harness)
            await harness.call("/get/a", headers={"x-api-key": "secret-1"})
            entry = harness.entry

            def seen() -> object:
                explainer = entry._explainer  # noqa: SLF001
                inner = (
                    explainer._fleet,
                    explainer._prefills._loads,
                    explainer._prefills._paces,
                )  # noqa: SLF001
                lengths = explainer._streams._length_estimators  # noqa: SLF001
                queues = dict(explainer._reserver._queues)  # noqa: SLF001
                rng = entry._rng  # noqa: SLF001
                return steady(entry.dump()), state(inner), dict(lengths), queues, rng.getstate()

            # Nothing else runs between the two looks, as this test does not wait.
            before = seen()
            for path in ("/get/a", "/tell/a", "/resume/a", "/none/a", "/open/a"):
                for organisation in ("acme", "none", None):
                    explain(
                        harness,
                        path,
                        organisation=organisation,
                        prompt_tokens=100,
                        headers={"x-chivehold-length-hint": "40"},
                    )
            assert seen() == before

    async def test_before_any_configuration(self, tmp_path: Path) -> None:
        """Guards against an error where an operator asks an entry that has just started."""
        async with running_entry(tmp_path) as harness:
            harness.entry._callers._routes = None  # noqa: SLF001
            assert explain(harness, "/get/a")["outcome"].startswith("503")


class TestCommand:
    @pytest.mark.parametrize("output", ["table", "json"])
    async def test_output(self, tmp_path: Path, output: str) -> None:
        """Guards against output that lacks the route, the candidates or what is not known."""
        async with running_entry(tmp_path) as harness:
            await start(harness)
            arguments = ["explain", "/tell/a", "--host", HOST, "--organisation", "acme"]
            arguments += ["--prompt-tokens", "900", "--header", "X-Other: 1", "--output", output]
            arguments += ["--operator", harness.operator_address]
            completed = await trio.run_process(
                [sys.executable, "-m", "chivehold.cli", *arguments],
                capture_stdout=True,
                capture_stderr=True,
                check=False,
            )
            assert completed.returncode == 0, completed.stderr.decode()
            text = completed.stdout.decode()
            assert all(word in text for word in ("/tell/", "acme", "d1", "d2", "free memory"))
            if output == "json":
                assert msgspec.json.decode(text)["candidates"][0]["rank"] == 1
            else:
                assert "NOT ASKED BECAUSE" in text

    @pytest.mark.parametrize("body", [b"", b"[]", b'{"path":"/a"}', b'{"host":1,"path":"/"}'])
    async def test_malformed_question(self, tmp_path: Path, body: bytes) -> None:
        """Guards against an error of the program where the question is none."""
        async with running_entry(tmp_path) as harness:
            assert await harness.post_operator("/explain", body) == 400
