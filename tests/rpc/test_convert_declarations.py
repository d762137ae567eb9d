"""Conversions of declarations to the schema's messages and back."""

import pytest
from returns.result import Success

from chivehold.core.declarations import DeclarationVersion
from chivehold.rpc import chivehold_pb2 as pb
from chivehold.rpc.convert_declarations import (
    declaration_version_from_proto,
    declaration_version_to_proto,
    decode_declaration,
    encode_declaration,
)
from tests.core.declared_examples import deployment, service


class TestConversion:
    @pytest.mark.parametrize("spec", [deployment(), service()], ids=["deployment", "service"])
    def test_round_trip(self, spec):
        """A declaration equals the one decoded from its encoding."""
        stored = DeclarationVersion(spec.name, "u1", 7, spec)
        assert decode_declaration(spec.name, encode_declaration(spec)) == Success(spec)
        assert declaration_version_from_proto(declaration_version_to_proto(stored)) == Success(
            stored
        )

    def test_tombstone(self):
        """A deleted declaration keeps its name, unique id and version."""
        stored = DeclarationVersion("forja", "u1", 7, None)
        assert declaration_version_from_proto(declaration_version_to_proto(stored)) == Success(
            stored
        )

    @pytest.mark.parametrize(
        ("value", "field"),
        [
            (b"\xff\xff", "value"),
            (encode_declaration(service("other")), "name"),
            (pb.Declaration(name="forja").SerializeToString(), "spec"),
            (
                pb.Declaration(
                    name="forja", service=pb.Service(classes=[pb.TrafficClass(urgency=9)])
                ).SerializeToString(),
                "classes[0].urgency",
            ),
        ],
    )
    def test_invalid_value_is_returned_as_a_problem(self, value, field):
        """An invalid value is returned as a problem that names the field, not raised."""
        assert decode_declaration("forja", value).failure().field == field
