"""Messages between entries on the wire, also of other versions and unreadable ones."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from chivehold.core.direct.crash_evidence import Suspect, UpstreamEnd
from chivehold.core.direct.crash_keys import CrashKey, KeyKind
from chivehold.core.direct.facts import Fact, HarmlessRun, UpstreamLeaving
from chivehold.core.direct.gossip import GossipItem, GossipMessage
from chivehold.core.direct.messages import UpstreamIncarnation
from chivehold.core.direct.quarantine import Quarantine
from chivehold.exceptions import Malformed
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.convert_gossip import decode_fact, decode_message, encode_fact, encode_message

KEY = CrashKey(KeyKind.PROMPT_PART, "5c1e07a2")
REQUEST = CrashKey(KeyKind.REQUEST, "ab" * 16)
FACTS: list[Fact] = [
    UpstreamEnd(
        UpstreamIncarnation("u1", 1_750_000_000_000),
        (Suspect(REQUEST, None), Suspect(KEY, 80.0)),
        99.5,
        99.75,
    ),
    HarmlessRun(KEY, 98.5),
    Quarantine(KEY, 3, True, 400.0),
    Quarantine(KEY, 4, False, 400.0),
    Quarantine(KEY, 5, True, 400.0, 1, 160.0),
    UpstreamLeaving(UpstreamIncarnation("u1", 7)),
]
TOLD_AT = 100.0


def item(fact: bytes) -> GossipItem:
    return GossipItem("end/e1/1", fact, TOLD_AT, 300.0)


class TestFacts:
    @pytest.mark.parametrize("fact", FACTS)
    def test_round_trip(self, fact: Fact) -> None:
        """A fact is the same at an entry that learns of it at the same moment."""
        assert decode_fact(item(encode_fact(fact, TOLD_AT))) == fact

    def test_kind_of_a_later_version(self) -> None:
        """A fact of an unknown kind is no error and means nothing."""
        assert decode_fact(item(b"\xfa\x01\x02\x08\x01")) is None

    @pytest.mark.parametrize(
        "fact",
        [
            pb.Fact(sound_run=pb.SoundRunFact(key=pb.CrashKey(kind="part"))),
            pb.Fact(sound_run=pb.SoundRunFact(key=pb.CrashKey(kind="x", value="y"))),
            pb.Fact(sound_run=pb.SoundRunFact(key=pb.CrashKey(kind="part", value="y" * 999))),
            pb.Fact(upstream_end=pb.UpstreamEndFact()),
        ],
    )
    def test_malformed(self, fact: pb.Fact) -> None:
        """Values that the core does not accept are refused."""
        with pytest.raises(Malformed):
            decode_fact(item(fact.SerializeToString()))


class TestMessages:
    def test_ages_are_kept(self) -> None:
        """A receiver with another clock sees the same ages."""
        message = GossipMessage("e1", "127.0.0.1:7", (item(b"fact"),), (1 << 64) - 1, True)
        received = decode_message(encode_message(message, 105.0), 5_000.0)
        assert received == message._replace(items=(item(b"fact")._replace(published_at=4_995.0),))

    @given(st.binary(max_size=300))
    def test_any_bytes(self, datagram: bytes) -> None:
        """Bytes that are no message raise nothing but ``Malformed``."""
        try:
            message = decode_message(datagram, 0.0)
            for known in message.items:
                decode_fact(known)
        except Malformed:
            pass
