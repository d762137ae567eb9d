"""Requests through separate processes, from the caller to the engines and back."""

import json

import pytest

from chivehold.fakes.output import expected_tokens
from tests.entry.deployed import Deployed, deploy, post
from tests.processes import Programs

PROMPT = "Read the whole site and return a short summary. " * 20


@pytest.fixture
async def deployed(tmp_path):
    programs = Programs(tmp_path)
    try:
        yield await deploy(programs)
    finally:
        programs.end()


def _completion(**fields: object) -> bytes:
    return json.dumps({"model": "lector", "prompt": PROMPT, "max_tokens": 40, **fields}).encode()


class TestWholePath:
    async def test_streamed_completion_arrives_whole(self, deployed: Deployed) -> None:
        """A streamed completion carries every token in order and ends as whole."""
        response = await post(deployed.callers, "/v1/completions", _completion(stream=True))
        assert response.status == 200, response.content
        *events, done, rest = response.content.decode().split("\n\n")
        assert (done, rest) == ("data: [DONE]", "")
        choices = [json.loads(event.removeprefix("data: "))["choices"][0] for event in events]
        text = "".join(choice["text"] for choice in choices)
        assert text == "".join(expected_tokens(PROMPT, 40))
        assert choices[-1]["finish_reason"] == "length"

    async def test_service_call_arrives_whole(self, deployed: Deployed) -> None:
        """A plain service's call runs once and its answer comes back as it was given."""
        response = await post(deployed.callers, "/services/forja/builds?full=1", b"{}")
        assert response.status == 200, response.content
        answer = json.loads(response.content)
        assert (answer["method"], answer["path"], answer["run"]) == ("POST", "/builds?full=1", 1)
        assert dict(response.headers)[b"chivehold-outcome"] == b"answered"
