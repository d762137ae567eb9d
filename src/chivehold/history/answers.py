"""Checkers for the answers that callers received."""

from collections import Counter
from collections.abc import Iterator

import msgspec

from chivehold.core.identity import Outcome, RequestId
from chivehold.fakes.output import output_tokens, prompt_digest
from chivehold.history.events import START_KINDS, Call, CallEnd, History, UpstreamEvent, Violation


def check_one_answer(history: History) -> tuple[Violation, ...]:
    """At most one call with the same idempotency key gets an answer that looks complete."""
    keys = ((call.target, call.key) for call in history.calls if call.key and call.is_answered)
    return tuple(
        Violation("one_answer", key, f"{count} whole answers from {target}")
        for (target, key), count in Counter(keys).items()
        if count > 1
    )


def check_whole_answer(history: History) -> tuple[Violation, ...]:
    """A complete answer belongs to its call and has every part exactly once and in order.

    After a resumption the stand-in engines derive the output from the prompt and all output before
    it. The part received before an answer broke off must be a prefix of the call's output.
    """
    return tuple(
        Violation("whole_answer", call.request or call.key, fault)
        for call in history.calls
        if (fault := _find_answer_fault(call))
    )


def check_not_run(history: History) -> tuple[Violation, ...]:
    """A request that was answered with ``not_run`` never starts, before or after the answer."""
    started: dict[RequestId, UpstreamEvent] = {}
    for event in history.upstream_events:
        if event.kind in START_KINDS and event.attempt is not None:
            started.setdefault(event.attempt.request, event)
    return tuple(
        Violation("not_run", call.request, f"{start.kind} at {start.upstream}")
        for call in history.calls
        if call.outcome is Outcome.NOT_RUN and (start := started.get(call.request))
    )


def check_run_once(history: History) -> tuple[Violation, ...]:
    """A non-idempotent call starts at most once, counted by its key and by its request."""
    once_only_calls = [call for call in history.calls if not call.idempotent]
    keys = {call.key for call in once_only_calls if call.key}
    requests = {call.request for call in once_only_calls if call.request}
    starts = [event for event in history.upstream_events if event.kind in START_KINDS]
    by_key = Counter(event.key for event in starts if event.key in keys)
    by_request = Counter(
        event.attempt.request
        for event in starts
        if event.attempt and event.attempt.request in requests
    )
    return tuple(
        Violation("run_once", subject, f"started {count} times")
        for subject, count in (by_key | by_request).items()
        if count > 1
    )


def check_refusals_are_typed(history: History) -> tuple[Violation, ...]:
    """A call has an error outcome if and only if it ended with an error answer."""
    return tuple(
        Violation("typed_error", call.request or call.key, f"outcome {call.outcome}")
        for call in history.calls
        if call.end is not None
        and (call.end is CallEnd.ERROR) != (call.outcome not in (None, Outcome.ANSWERED))
    )


def _find_answer_fault(call: Call) -> str:
    if call.prompt is not None:
        return _find_output_fault(call, call.prompt)
    return _find_service_fault(call) if call.is_answered else ""


def _find_output_fault(call: Call, prompt: str) -> str:
    tokens = tuple(_split_tokens(call.text))
    if call.is_answered and len(tokens) != call.max_tokens:
        return f"{len(tokens)} of {call.max_tokens} tokens in an answer that looked complete"
    digest = prompt_digest(prompt)
    for offset, token in enumerate(tokens):
        if (token,) == output_tokens(digest, offset, offset + 1):
            continue
        digest = prompt_digest(prompt + "".join(tokens[:offset]))
        if (token,) != output_tokens(digest, offset, offset + 1):
            return f"token {offset} does not belong to the output of the prompt"
    return ""


def _split_tokens(text: str) -> Iterator[str]:
    for word in text.split(" ")[1:]:
        yield f" {word}"


def _find_service_fault(call: Call) -> str:
    try:
        answer = msgspec.json.decode(call.text, type=dict[str, object])
    except msgspec.DecodeError as error:
        return f"answer is not complete JSON: {error}"
    if answer.get("path") != call.path or answer.get("body_digest") != call.body_digest:
        return f"answer for {answer.get('path')}, requested {call.path}"
    if call.key and answer.get("key") != call.key:
        return f"answer for key {answer.get('key')}"
    return ""
