"""The views of a holder and its successor on one lease, each with its own clock."""

from hypothesis import given, settings
from hypothesis import strategies as st

from chivehold.core.control_lease import (
    PAUSE_MARGIN_S,
    TERM_S,
    Lease,
    LeaseRecord,
    decode_lease,
    encode_lease,
)

DELAYS_S = st.floats(0.0, 10.0)


class TestLease:
    @settings(derandomize=True)
    @given(DELAYS_S, DELAYS_S, DELAYS_S, st.floats(-0.01, 0.01))
    def test_successor_waits(self, write_s, answer_s, read_s, drift):
        """The holder's term ends first, however slow write, answer and read are.

        The clocks may drift apart by 1%.
        """
        value = encode_lease(LeaseRecord("a", TERM_S))
        holder, successor = Lease("control", "a"), Lease("control", "b")
        holder.record_write(1, value, sent_at=0.0, now=write_s + answer_s)
        read_at = write_s + read_s
        successor.observe(1, value, read_at * (1 + drift))
        for step in range(200):
            now = read_at + step * 0.05
            assert not (successor.may_acquire(now * (1 + drift)) and holder.held_at(now))
        assert successor.may_acquire((read_at + 2 * TERM_S) * (1 + drift))

    def test_pause_margin(self):
        """A lease is not used within the pause margin before the end of its term."""
        holder = Lease("control", "a")
        holder.record_write(7, encode_lease(LeaseRecord("a", TERM_S)), sent_at=0.0, now=0.0)
        held = holder.held_at(1.0)
        assert (held.fencing_number, held.left_s) == (7, TERM_S - PAUSE_MARGIN_S - 1.0)
        assert holder.held_at(TERM_S - PAUSE_MARGIN_S) is None

    def test_unreadable_record_counts_as_held(self):
        """A record that cannot be decoded blocks the lease for one term."""
        lease = Lease("control", "a")
        lease.observe(1, b"{", now=0.0)
        assert not lease.may_acquire(TERM_S)
        assert decode_lease(b"{").term_s == TERM_S
