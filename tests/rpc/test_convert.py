from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chivehold.core.identity import AttemptId, KeyId, Role
from chivehold.core.wire import (
    EngineOrder,
    Heartbeat,
    KeyCommit,
    KeyDecision,
    KeyRegistration,
    LoadReport,
    OrderKind,
    OrderResult,
    RevokeResult,
    UpstreamState,
)
from chivehold.exceptions import Malformed
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc import convert

word = st.text(min_size=1, max_size=8)
small = st.integers(0, 2**31)
exact = st.floats(0, 1e6, width=32)
key = st.builds(KeyId, organisation=word, target=word, key=word)
report = st.builds(
    LoadReport,
    incarnation=word,
    up_for_s=exact,
    role=st.sampled_from(Role),
    state=st.sampled_from(UpstreamState),
    revision=small,
    **dict.fromkeys(("places", "places_free", "waiting_urgent", "waiting_patient"), small),
    **{
        name: exact
        for name in LoadReport._fields
        if name.endswith("_s") and name not in ("up_for_s",)
    },
    prefix_blocks=st.lists(st.integers(0, 2**32 - 1)).map(tuple),
)
commit = st.builds(KeyCommit, key=key, request=word, entry=word)


class TestRoundTrip:
    @pytest.mark.parametrize(
        ("values", "to_proto", "from_proto"),
        [
            (
                st.builds(Heartbeat, entry=word, incarnation=word, revision=small),
                convert.heartbeat_to_proto,
                convert.heartbeat_from_proto,
            ),
            (report, convert.load_report_to_proto, convert.load_report_from_proto),
            (
                st.builds(
                    KeyRegistration, key=key, request=word, entry=word, first_sent_ago_s=exact
                ),
                convert.registration_to_proto,
                convert.registration_from_proto,
            ),
            (
                st.builds(
                    EngineOrder,
                    fencing_number=small,
                    operation_id=word,
                    kind=st.sampled_from(OrderKind),
                    argument=word,
                    lease_left_s=exact,
                ),
                convert.order_to_proto,
                convert.order_from_proto,
            ),
            (
                st.sampled_from(RevokeResult),
                convert.revoke_result_to_proto,
                convert.revoke_result_from_proto,
            ),
            (
                st.sampled_from(KeyDecision),
                convert.decision_to_proto,
                convert.decision_from_proto,
            ),
            (
                st.sampled_from(OrderResult),
                convert.order_result_to_proto,
                convert.order_result_from_proto,
            ),
            (
                st.builds(convert.CommitOrRelease, commit=commit, release=st.booleans()),
                lambda end: convert.commit_to_proto(*end),
                convert.commit_from_proto,
            ),
            (
                st.builds(
                    convert.Revocation,
                    attempt=st.builds(AttemptId, request=word, number=small),
                    incarnation=word,
                    keeps_started=st.booleans(),
                ),
                convert.revocation_to_proto,
                convert.revocation_from_proto,
            ),
        ],
    )
    def test_keeps_every_field(
        self,
        values: st.SearchStrategy[Any],
        to_proto: Callable[[Any], Any],
        from_proto: Callable[[Any], Any],
    ) -> None:
        """A value equals the one decoded from its encoded message."""

        @settings(derandomize=True, max_examples=40, database=None)
        @given(values)
        def check(value: Any) -> None:
            message = to_proto(value)
            assert from_proto(type(message).FromString(message.SerializeToString())) == value

        check()


class TestMalformed:
    @pytest.mark.parametrize(
        ("from_proto", "message"),
        [
            (convert.heartbeat_from_proto, pb.HeartbeatRequest()),
            (convert.load_report_from_proto, pb.HeartbeatResponse(state="ready")),
            (convert.load_report_from_proto, pb.HeartbeatResponse(role=1, state="x")),
            (convert.revocation_from_proto, pb.RevokeRequest()),
            (convert.registration_from_proto, pb.RegisterKeyRequest(request="r", entry="e")),
            (convert.order_from_proto, pb.OrderRequest(operation_id="o", kind="x")),
            (convert.decision_from_proto, pb.RegisterKeyResponse(decision="x")),
        ],
    )
    def test_error_names_the_field(self, from_proto: Callable[[Any], Any], message: Any) -> None:
        """A message with an invalid value raises ``Malformed`` with the field in its step."""
        with pytest.raises(Malformed, match="decode "):
            from_proto(message)
