"""Reports on the use of quotas: cumulative sums under loss, delay and repetition."""

from collections import Counter
from random import Random

import pytest

from chivehold.core.direct.usage_reports import (
    MAX_KNOWN_USAGES,
    MIN_USAGES,
    REPEATS,
    REPORT_INTERVAL_S,
    SILENCE_S,
    OwnUsage,
    PeerUsage,
    Usage,
    UsageReport,
    max_usages,
)
from chivehold.exceptions import Malformed
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.convert_gossip import MAX_USED, decode_message, encode_usage

ORGANISATIONS = 30


def own() -> OwnUsage:
    return OwnUsage(7, lambda organisation: 1_000.0)


def report(sequence: int, *usages: Usage, incarnation: int = 7) -> UsageReport:
    return UsageReport(incarnation, sequence, usages)


class TestCharges:
    @pytest.mark.parametrize("seed", range(5))
    def test_lost_late_and_repeated(self, seed: int) -> None:
        """Guards against charging a report twice, or never after it was lost or overtaken."""
        rng, sender, receiver = Random(seed), own(), PeerUsage()
        receiver.receive("a", sender.next_report(23), 0.0)
        used: Counter[int] = Counter()
        charged: Counter[int] = Counter()
        now, late = 0.0, sender.next_report(23)
        for step in range(400):
            now += REPORT_INTERVAL_S
            for _ in range(rng.randrange(4) if step < 380 else 0):
                organisation = rng.randrange(ORGANISATIONS)
                # A refund gives back what has been charged before.
                amount = rng.randrange(-min(500, used[organisation]), 4_000)
                sender.add(organisation, amount)
                used[organisation] += amount
            sent = sender.next_report(23)
            # Every third report is lost, some arrive twice or after their successor.
            arriving = [sent, sent, late] if step % 3 else []
            late = sent
            for each in arriving:
                charged.update(receiver.receive("a", each, now) or {})
        assert min(used.values()) > 0
        assert charged == used

    def test_organisation_not_seen_before(self) -> None:
        """Guards against charging what was used long before this entry started."""
        sender, receiver = own(), PeerUsage()
        sender.add(1, 500.0)
        for _ in range(REPEATS):
            sender.next_report(1)
        assert receiver.receive("a", sender.next_report(1), 0.0) == {}
        sender.add(1, 30.0)
        assert receiver.receive("a", sender.next_report(1), 0.1) == {1: 30}

    def test_after_silence(self) -> None:
        """Guards against charging use that was covered by the share of a silent entry."""
        receiver = PeerUsage()
        receiver.receive("a", report(1, Usage(1, 10, 10)), 0.0)
        silence = receiver.mark_silent(SILENCE_S)
        assert silence is not None
        assert (silence.entries, silence.since) == (1, 0.0)
        assert receiver.receive("a", report(9, Usage(1, 900, 900)), 5.0) == {}
        assert receiver.receive("a", report(10, Usage(1, 950, 950)), 5.5) == {1: 50}

    def test_restarted_process(self) -> None:
        """Guards against a restart that looks like a refund."""
        receiver = PeerUsage()
        receiver.receive("a", report(5, Usage(1, 900, 900)), 0.0)
        assert receiver.receive("a", report(1, Usage(1, 40, 40), incarnation=8), 0.5) == {1: 40}

    def test_organisations_are_bounded(self) -> None:
        """Guards against memory that grows with what another process sends."""
        receiver = PeerUsage()
        receiver.receive("a", report(1), 0.0)
        for sequence in range(2, MAX_KNOWN_USAGES + 100):
            receiver.receive("a", report(sequence, Usage(sequence, 1, 1)), 0.0)
        assert receiver.receive("a", report(10_000, Usage(5, 3, 3)), 0.0) == {5: 2}
        assert receiver.receive("a", report(10_001, Usage(9_999, 3, 3)), 0.0) == {}


class TestSize:
    @pytest.mark.parametrize("peers", [1, 23, 47])
    def test_datagrams_are_not_split(self, peers: int) -> None:
        """Guards against reports of many organisations that no longer fit into one datagram."""
        sender = own()
        for organisation in range(810):
            sender.add((1 << 63) + organisation, 2_000_000_000.0)
        assert len(encode_usage("entry-1.zone-a", sender.next_report(peers))) <= 1_200

    def test_most_used_first(self) -> None:
        """Guards against leaving out the organisations that use most of their quota."""
        sender = own()
        for organisation in range(810):
            sender.add(organisation, 10.0 + organisation)
        first = [usage.organisation for usage in sender.next_report(47).usages]
        second = [usage.organisation for usage in sender.next_report(47).usages]
        assert first == list(range(809, 809 - MIN_USAGES, -1))
        assert second == list(range(809 - MIN_USAGES, 809 - 2 * MIN_USAGES, -1))

    def test_volume(self) -> None:
        """Guards against more bytes than a node may send, with 48 entries in a cell."""
        sender = own()
        for organisation in range(810):
            sender.add((1 << 63) + organisation, 2_000_000.0)
        size = len(encode_usage("entry-100", sender.next_report(47)))
        assert max_usages(47) == MIN_USAGES
        assert 47 * size / REPORT_INTERVAL_S <= 11_000


class TestWire:
    def test_round_trip(self) -> None:
        """A report is read as it was sent, refunds included."""
        sent = report(3, Usage(1 << 63, 12_345, -70), Usage(5, 0, 0))
        message = decode_message(encode_usage("a", sent), 1.0)
        assert (message.sender, message.usage) == ("a", sent)

    @pytest.mark.parametrize(
        "usage",
        [
            pb.UsageReport(incarnation=1, sequence=0),
            pb.UsageReport(incarnation=0, sequence=1),
            pb.UsageReport(incarnation=1, sequence=1, organisations=[1]),
            pb.UsageReport(
                incarnation=1, sequence=1, organisations=[1], used=[MAX_USED + 1], recent=[1]
            ),
            pb.UsageReport(
                incarnation=1, sequence=1, organisations=[1], used=[1], recent=[-MAX_USED - 1]
            ),
            pb.UsageReport(
                incarnation=1, sequence=1, organisations=[1] * 65, used=[1] * 65, recent=[1] * 65
            ),
        ],
    )
    def test_invalid(self, usage: pb.UsageReport) -> None:
        """Guards against charging garbage."""
        datagram = pb.GossipMessage(sender="a", usage=usage).SerializeToString()
        with pytest.raises(Malformed):
            decode_message(datagram, 1.0)
