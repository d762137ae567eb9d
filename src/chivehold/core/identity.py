"""Names and identifiers used by entries and sidecars."""

from enum import StrEnum
from typing import NamedTuple, NewType

EntryIncarnation = NewType("EntryIncarnation", str)
"""One run of an entry process; a restarted entry is a new incarnation."""

SidecarIncarnation = NewType("SidecarIncarnation", str)
"""One run of a sidecar process; attempts are addressed to an incarnation."""

Organisation = NewType("Organisation", str)
"""The customer on whose behalf a request is made."""

TargetName = NewType("TargetName", str)
"""The declared name of a model deployment or of a plain service."""

UpstreamName = NewType("UpstreamName", str)
"""The declared name of one engine or of one VM of a plain service."""

RequestId = NewType("RequestId", str)
"""A caller's request at one entry; unique across all entries and restarts."""


class AttemptId(NamedTuple):
    """One attempt to run a request at one sidecar; never reused for another sidecar."""

    request: RequestId
    number: int


class KeyId(NamedTuple):
    """An idempotency key within its organisation and target."""

    organisation: Organisation
    target: TargetName
    key: str


class Urgency(StrEnum):
    """Urgency of a traffic class; patient requests can wait in a queue of the entry."""

    URGENT = "urgent"
    PATIENT = "patient"


class Role(StrEnum):
    """Kind of work that an upstream does."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"


class Outcome(StrEnum):
    """The result of a request, as reported to its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    ALREADY_ANSWERED = "already_answered"
    IN_PROGRESS = "in_progress"
    REJECTED = "rejected"
