"""Checkers of what callers were told."""

from collections import Counter
from collections.abc import Iterator

import msgspec

from chivehold.core.identity import Outcome, RequestId
from chivehold.fakes.output import output_tokens, prompt_digest
from chivehold.history.events import START_KINDS, Call, CallEnd, History, UpstreamEvent, Violation


def check_one_answer(history: History) -> tuple[Violation, ...]:
    """At most one call under a key gets an answer that looks whole."""
    keys = ((call.target, call.key) for call in history.calls if call.key and call.is_answered)
    return tuple(
        Violation("one_answer", key, f"{count} whole answers from {target}")
        for (target, key), count in Counter(keys).items()
        if count > 1
    )


def check_whole_answer(history: History) -> tuple[Violation, ...]:
    """A whole answer is the caller's own, with every part once and in order.

    An output that was resumed goes on as the stand-in engines do: from the prompt and all output
    before the resumption. What was received before an answer broke off must be a beginning of
    the own output.
    """
    return tuple(
        Violation("whole_answer", call.request or call.key, fault)
        for call in history.calls
        if (fault := _answer_fault(call))
    )


def check_not_run(history: History) -> tuple[Violation, ...]:
    """A request whose caller was told ``not_run`` started nowhere, before or after."""
    started: dict[RequestId, UpstreamEvent] = {}
    for work in history.upstream_events:
        if work.kind in START_KINDS and work.attempt is not None:
            started.setdefault(work.attempt.request, work)
    return tuple(
        Violation("not_run", call.request, f"{start.kind} at {start.upstream}")
        for call in history.calls
        if call.outcome is Outcome.NOT_RUN and (start := started.get(call.request))
    )


def check_run_once(history: History) -> tuple[Violation, ...]:
    """A non-idempotent call starts at most once: under its key, or as a request without one."""
    single = [call for call in history.calls if not call.idempotent]
    keys = {call.key for call in single if call.key}
    requests = {call.request for call in single if call.request}
    starts = [work for work in history.upstream_events if work.kind in START_KINDS]
    by_key = Counter(work.key for work in starts if work.key in keys)
    by_request = Counter(
        work.attempt.request for work in starts if work.attempt and work.attempt.request in requests
    )
    return tuple(
        Violation("run_once", subject, f"started {count} times")
        for subject, count in (by_key | by_request).items()
        if count > 1
    )


def check_refusals_are_typed(history: History) -> tuple[Violation, ...]:
    """An error answer carries one of the outcomes that are errors."""
    return tuple(
        Violation("typed_error", call.request or call.key, f"outcome {call.outcome}")
        for call in history.calls
        if call.end is not None
        and (call.end is CallEnd.ERROR) != (call.outcome not in (None, Outcome.ANSWERED))
    )


def _answer_fault(call: Call) -> str:
    if call.prompt is not None:
        return _output_fault(call, call.prompt)
    return _service_fault(call) if call.is_answered else ""


def _output_fault(call: Call, prompt: str) -> str:
    tokens = tuple(_split(call.text))
    if call.is_answered and len(tokens) != call.max_tokens:
        return f"{len(tokens)} of {call.max_tokens} tokens in an answer that looked whole"
    digest = prompt_digest(prompt)
    for offset, token in enumerate(tokens):
        if (token,) == output_tokens(digest, offset, offset + 1):
            continue
        digest = prompt_digest(prompt + "".join(tokens[:offset]))
        if (token,) != output_tokens(digest, offset, offset + 1):
            return f"token {offset} is not its own"
    return ""


def _split(text: str) -> Iterator[str]:
    for word in text.split(" ")[1:]:
        yield f" {word}"


def _service_fault(call: Call) -> str:
    try:
        answer = msgspec.json.decode(call.text, type=dict[str, object])
    except msgspec.DecodeError as error:
        return f"not whole: {error}"
    if answer.get("path") != call.path or answer.get("body_digest") != call.body_digest:
        return f"answer of {answer.get('path')}, asked for {call.path}"
    if call.key and answer.get("key") != call.key:
        return f"answer of key {answer.get('key')}"
    return ""
