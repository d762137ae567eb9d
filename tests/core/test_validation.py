"""Validation reports all faults of declarations, each with its field."""

import math

import pytest
from returns.result import Success

from chivehold.core.declared import CallRule, Share
from chivehold.core.identity import Role
from chivehold.core.validation import validate
from tests.core.declared_examples import URGENT, deployment, service, upstream

DECODE = (upstream("d1", Role.DECODE, 8002),)


def faults_of(*specs):
    return [(problem.declaration, problem.field) for problem in validate(specs).failure()]


class TestValidate:
    def test_valid(self):
        """The example declarations are valid together."""
        assert validate([deployment(), service()]) == Success(None)

    @pytest.mark.parametrize(
        ("fields", "field"),
        [
            ({"name": "Lector"}, "name"),
            ({"model": ""}, "model"),
            ({"prefill": ()}, "prefill"),
            ({"decode": ()}, "decode"),
            ({"decode": (DECODE[0]._replace(role=Role.PREFILL),)}, "decode[0].role"),
            ({"decode": (DECODE[0]._replace(places=0),)}, "decode[0].places"),
            ({"decode": (DECODE[0]._replace(zone="sjo a"),)}, "decode[0].zone"),
            ({"decode": (DECODE[0]._replace(data_address="host:1"),)}, "decode[0].data_address"),
            ({"decode": (DECODE[0]._replace(data_address="::1:80"),)}, "decode[0].data_address"),
            (
                {"decode": (DECODE[0]._replace(control_address="127.0.0.1:0"),)},
                "decode[0].control_address",
            ),
            ({"patient_floor": 1.1}, "patient_floor"),
            ({"patient_floor": math.nan}, "patient_floor"),
            ({"classes": (), "default_class": ""}, "classes"),
            ({"default_class": "none"}, "default_class"),
            ({"classes": (URGENT, URGENT), "default_class": "hook"}, "classes"),
            (
                {"classes": (URGENT._replace(deadline_s=math.inf),), "default_class": ""},
                "classes[0].deadline_s",
            ),
            ({"shares": (Share("a", 0.0),)}, "shares[0].weight"),
            ({"shares": (Share("a", 1.0), Share("a", 1.0))}, "shares"),
            ({"adapters": ("a", "a")}, "adapters"),
            ({"kv_bytes_per_token": -1}, "kv_bytes_per_token"),
        ],
    )
    def test_one_fault(self, fields, field):
        """A fault is reported once, with its declaration and field."""
        spec = deployment()._replace(**fields)
        assert faults_of(spec) == [(spec.name, field)]

    def test_all_faults_at_once(self):
        """Faults of several declarations are reported together."""
        rules = (CallRule("get", "lookups", True),)
        assert faults_of(deployment(model=""), service(rules=rules)) == [
            ("lector", "model"),
            ("forja", "rules[0].method"),
            ("forja", "rules[0].path_prefix"),
        ]

    def test_unique_across_declarations(self):
        """Upstream names, addresses and declaration names are unique across declarations."""
        twice = (upstream("lector-p1", Role.SERVICE, 9500),)
        assert faults_of(deployment(), service(upstreams=twice)) == [
            ("lector", "lector-p1"),
            ("forja", "lector-p1"),
        ]
        same_address = (upstream("other", Role.SERVICE, 8000),)
        assert set(faults_of(deployment(), service(upstreams=same_address))) == {
            ("lector", "lector-p1"),
            ("forja", "other"),
        }
        assert ("lector", "name") in faults_of(deployment(), service(name="lector"))
