"""Converts what entries publish to one another between the schema and the core's types.

On the wire all times are ages, so that the clocks of the entries need not agree. The time on the
way is added to them; it is far below the times that matter.
"""

from google.protobuf.message import DecodeError

from chivehold.core.direct.crash_evidence import Suspect, UpstreamEnd
from chivehold.core.direct.crash_keys import MAX_VALUE_LENGTH, CrashKey, KeyKind
from chivehold.core.direct.facts import Fact, HarmlessRun, UpstreamLeaving
from chivehold.core.direct.gossip import MAX_LIFETIME_S, GossipItem, GossipMessage
from chivehold.core.direct.messages import UpstreamIncarnation
from chivehold.core.direct.quarantine import Quarantine
from chivehold.core.direct.usage_reports import MAX_USAGES, Usage, UsageReport
from chivehold.exceptions import Malformed
from chivehold.rpc import chivehold_pb2 as pb

MS_PER_S = 1_000
MAX_AGE_MS = (1 << 32) - 1
MAX_ID_LENGTH = 200
MAX_USED = 1 << 53
"""Largest sum in a report; larger ones cannot be charged precisely."""


def encode_message(message: GossipMessage, now: float) -> bytes:
    """Return the datagram of a message."""
    return pb.GossipMessage(
        sender=message.sender,
        address=message.address,
        items=[
            pb.GossipItem(
                id=item.item_id,
                age_ms=_age_ms(item.published_at, now),
                lifetime_ms=_ms(item.lifetime_s),
                fact=item.fact,
            )
            for item in message.items
        ],
        digest=message.digest,
        asks_for_items=message.asks_for_items,
    ).SerializeToString()


def encode_usage(sender: str, report: UsageReport) -> bytes:
    """Return the datagram of a report on the use of quotas."""
    usage = pb.UsageReport(
        incarnation=report.incarnation,
        sequence=report.sequence,
        organisations=[usage.organisation for usage in report.usages],
        used=[usage.used for usage in report.usages],
        recent=[usage.recent for usage in report.usages],
    )
    return pb.GossipMessage(sender=sender, usage=usage).SerializeToString()


def decode_message(datagram: bytes, now: float) -> GossipMessage:
    """Parse a datagram.

    Raises:
        Malformed: It is no message of an entry.
    """
    try:
        message = pb.GossipMessage.FromString(datagram)
    except DecodeError as error:
        raise Malformed("decode GossipMessage", "", str(error)) from error
    if not message.sender:
        raise Malformed("decode GossipMessage.sender", "", "empty")
    if len(message.sender) > MAX_ID_LENGTH:
        raise Malformed("decode GossipMessage.sender", "", message.sender[:MAX_ID_LENGTH])
    items = (_item_from_proto(item, now) for item in message.items)
    return GossipMessage(
        message.sender,
        message.address,
        tuple(items),
        message.digest,
        message.asks_for_items,
        _usage_from_proto(message.usage) if message.HasField("usage") else None,
    )


def encode_fact(fact: Fact, published_at: float) -> bytes:
    """Return a fact as it is first published at a moment."""
    if isinstance(fact, UpstreamEnd):
        return pb.Fact(upstream_end=_end_to_proto(fact, published_at)).SerializeToString()
    if isinstance(fact, HarmlessRun):
        sound_run = pb.SoundRunFact(
            key=_key_to_proto(fact.key), ago_ms=_age_ms(fact.at, published_at)
        )
        return pb.Fact(sound_run=sound_run).SerializeToString()
    if isinstance(fact, UpstreamLeaving):
        departure = pb.DepartureFact(
            upstream=fact.upstream.name, started_ms=fact.upstream.started_ms
        )
        return pb.Fact(departure=departure).SerializeToString()
    return pb.Fact(quarantine=_quarantine_to_proto(fact, published_at)).SerializeToString()


def decode_fact(item: GossipItem) -> Fact | None:
    """Return the fact in an item, or ``None`` if this version does not know its kind.

    Raises:
        Malformed: It cannot be read.
    """
    try:
        fact = pb.Fact.FromString(item.fact)
    except DecodeError as error:
        raise Malformed("decode Fact", "", str(error)) from error
    kind = fact.WhichOneof("kind")
    if kind == "upstream_end":
        return _end_from_proto(fact.upstream_end, item.published_at)
    if kind == "sound_run":
        at = item.published_at - fact.sound_run.ago_ms / MS_PER_S
        return HarmlessRun(_key_from_proto(fact.sound_run.key), at)
    if kind == "quarantine":
        return _quarantine_from_proto(fact.quarantine, item.published_at)
    if kind == "departure":
        return UpstreamLeaving(_incarnation(fact.departure.upstream, fact.departure.started_ms))
    return None


def _item_from_proto(item: pb.GossipItem, now: float) -> GossipItem:
    if not item.id or len(item.id) > MAX_ID_LENGTH:
        raise Malformed("decode GossipItem.id", "", item.id[:MAX_ID_LENGTH])
    lifetime_s = min(MAX_LIFETIME_S, item.lifetime_ms / MS_PER_S)
    return GossipItem(item.id, item.fact, now - item.age_ms / MS_PER_S, lifetime_s)


def _usage_from_proto(message: pb.UsageReport) -> UsageReport:
    count = len(message.organisations)
    if count > MAX_USAGES or count != len(message.used) or count != len(message.recent):
        raise Malformed("decode UsageReport.organisations", "", str(count))
    if not message.incarnation or not message.sequence:
        raise Malformed("decode UsageReport.sequence", "", str(message.sequence))
    usages = tuple(map(Usage, message.organisations, message.used, message.recent))
    if any(max(usage.used, abs(usage.recent)) > MAX_USED for usage in usages):
        raise Malformed("decode UsageReport.used", "", "too large")
    return UsageReport(message.incarnation, message.sequence, usages)


def _end_to_proto(end: UpstreamEnd, published_at: float) -> pb.UpstreamEndFact:
    return pb.UpstreamEndFact(
        upstream=end.upstream.name,
        started_ms=end.upstream.started_ms,
        suspects=[_suspect_to_proto(suspect, published_at) for suspect in end.suspects],
        sent_ago_ms=_age_ms(end.sent_at, published_at),
        ended_ago_ms=_age_ms(end.ended_at, published_at),
    )


def _end_from_proto(message: pb.UpstreamEndFact, published_at: float) -> UpstreamEnd:
    return UpstreamEnd(
        _incarnation(message.upstream, message.started_ms),
        tuple(_suspect_from_proto(suspect, published_at) for suspect in message.suspects),
        published_at - message.sent_ago_ms / MS_PER_S,
        published_at - message.ended_ago_ms / MS_PER_S,
    )


def _quarantine_to_proto(order: Quarantine, published_at: float) -> pb.QuarantineFact:
    next_trial_in_ms: int | None = None
    if order.next_trial_at is not None:
        next_trial_in_ms = _ms(max(0.0, order.next_trial_at - published_at))
    return pb.QuarantineFact(
        key=_key_to_proto(order.key),
        version=order.version,
        active=order.is_active,
        left_ms=_ms(max(0.0, order.until - published_at)),
        trials=order.trials,
        next_trial_in_ms=next_trial_in_ms,
    )


def _quarantine_from_proto(message: pb.QuarantineFact, published_at: float) -> Quarantine:
    next_trial_at: float | None = None
    if message.HasField("next_trial_in_ms"):
        next_trial_at = published_at + message.next_trial_in_ms / MS_PER_S
    return Quarantine(
        _key_from_proto(message.key),
        message.version,
        message.active,
        published_at + message.left_ms / MS_PER_S,
        message.trials,
        next_trial_at,
    )


def _incarnation(name: str, started_ms: int) -> UpstreamIncarnation:
    if not name:
        raise Malformed("decode Fact.upstream", "", "empty")
    return UpstreamIncarnation(name, started_ms)


def _suspect_to_proto(suspect: Suspect, published_at: float) -> pb.Suspect:
    key = _key_to_proto(suspect.key)
    if suspect.sound_at is None:
        return pb.Suspect(key=key)
    return pb.Suspect(key=key, sound_ago_ms=_age_ms(suspect.sound_at, published_at))


def _suspect_from_proto(message: pb.Suspect, published_at: float) -> Suspect:
    sound_at: float | None = None
    if message.HasField("sound_ago_ms"):
        sound_at = published_at - message.sound_ago_ms / MS_PER_S
    return Suspect(_key_from_proto(message.key), sound_at)


def _key_to_proto(key: CrashKey) -> pb.CrashKey:
    return pb.CrashKey(kind=key.kind, value=key.value)


def _key_from_proto(message: pb.CrashKey) -> CrashKey:
    if not message.value or len(message.value) > MAX_VALUE_LENGTH:
        raise Malformed("decode CrashKey.value", "", message.value[:MAX_VALUE_LENGTH])
    try:
        return CrashKey(KeyKind(message.kind), message.value)
    except ValueError:
        raise Malformed("decode CrashKey.kind", "", message.kind[:MAX_VALUE_LENGTH]) from None


def _age_ms(at: float, now: float) -> int:
    return _ms(max(0.0, now - at))


def _ms(seconds: float) -> int:
    return min(MAX_AGE_MS, round(seconds * MS_PER_S))
