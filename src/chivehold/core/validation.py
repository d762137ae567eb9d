"""Validation of declarations, which reports all faults with the expected values."""

import math
import re
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from ipaddress import ip_address
from typing import NamedTuple

from returns.result import Failure, Result, Success

from chivehold.core.declarations import DeclaredSpec
from chivehold.core.declared import CallRule, Deployment, Service, Share, TrafficClass, Upstream
from chivehold.core.identity import Role

NAME_PATTERN = re.compile(r"[a-z][a-z0-9-]{0,62}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,16}|\*")
EXPECTED_NAME = "a name of a-z, 0-9 and -, starting with a letter, at most 63 long"
MAX_TEXT_LENGTH = 256
MAX_PLACES = 65_536
MAX_PORT = 65_535
MAX_UPSTREAMS = 10_000


class Problem(NamedTuple):
    """A fault of a declaration, with the expected value."""

    declaration: str
    field: str
    expected: str

    def __str__(self) -> str:
        return f"{self.declaration}: {self.field}: expected {self.expected}"


class _Fault(NamedTuple):
    field: str
    expected: str


def validate(specs: Sequence[DeclaredSpec]) -> Result[None, tuple[Problem, ...]]:
    """Validate all declarations that are to be in force together.

    Args:
        specs: All deployments and services.

    Returns:
        All faults found, in the order of the declarations.
    """
    problems = tuple(_problems(specs))
    return Failure(problems) if problems else Success(None)


def _problems(specs: Sequence[DeclaredSpec]) -> Iterator[Problem]:
    unique_names = _UniqueNames(specs)
    for spec in specs:
        for fault in (*_spec_faults(spec), *unique_names.faults(spec)):
            yield Problem(spec.name, fault.field, fault.expected)


def _spec_faults(spec: DeclaredSpec) -> Iterator[_Fault]:
    yield from _name_faults("name", spec.name)
    yield from _class_faults(spec.classes, spec.default_class)
    yield from _share_faults(spec.shares)
    if isinstance(spec, Deployment):
        yield from _deployment_faults(spec)
    else:
        yield from _service_faults(spec)


def _deployment_faults(deployment: Deployment) -> Iterator[_Fault]:
    yield from _text_faults("model", deployment.model)
    yield from _pool_faults("prefill", deployment.prefill, Role.PREFILL)
    yield from _pool_faults("decode", deployment.decode, Role.DECODE)
    if not 0.0 <= deployment.patient_floor <= 1.0:
        yield _Fault("patient_floor", "a share of 0 to 1")
    if deployment.kv_bytes_per_token < 0:
        yield _Fault("kv_bytes_per_token", "bytes, 0 or more")
    for index, adapter in enumerate(deployment.adapters):
        yield from _text_faults(f"adapters[{index}]", adapter)
    yield from _duplicate_faults("adapters", deployment.adapters)


def _service_faults(service: Service) -> Iterator[_Fault]:
    yield from _pool_faults("upstreams", service.upstreams, Role.SERVICE)
    for index, rule in enumerate(service.rules):
        yield from _rule_faults(f"rules[{index}]", rule)


def _pool_faults(pool: str, upstreams: Sequence[Upstream], role: Role) -> Iterator[_Fault]:
    if not 1 <= len(upstreams) <= MAX_UPSTREAMS:
        yield _Fault(pool, f"1 to {MAX_UPSTREAMS} upstreams")
    for index, upstream in enumerate(upstreams):
        path = f"{pool}[{index}]"
        yield from _name_faults(f"{path}.name", upstream.name)
        yield from _name_faults(f"{path}.zone", upstream.zone)
        yield from _address_faults(f"{path}.data_address", upstream.data_address)
        yield from _address_faults(f"{path}.control_address", upstream.control_address)
        if upstream.role is not role:
            yield _Fault(f"{path}.role", f"the role {role}")
        if not 1 <= upstream.places <= MAX_PLACES:
            yield _Fault(f"{path}.places", f"1 to {MAX_PLACES} requests")


def _class_faults(classes: Sequence[TrafficClass], default_class: str) -> Iterator[_Fault]:
    if not classes:
        yield _Fault("classes", "at least one class")
    names = [traffic_class.name for traffic_class in classes]
    for index, traffic_class in enumerate(classes):
        path = f"classes[{index}]"
        yield from _name_faults(f"{path}.name", traffic_class.name)
        yield from _positive_number_faults(f"{path}.deadline_s", traffic_class.deadline_s)
        yield from _positive_number_faults(
            f"{path}.first_token_target_s", traffic_class.first_token_target_s
        )
        yield from _positive_number_faults(
            f"{path}.between_tokens_target_s", traffic_class.between_tokens_target_s
        )
    yield from _duplicate_faults("classes", names)
    if default_class and default_class not in names:
        yield _Fault("default_class", f"one of the declared classes ({', '.join(names)})")


def _share_faults(shares: Sequence[Share]) -> Iterator[_Fault]:
    for index, share in enumerate(shares):
        yield from _text_faults(f"shares[{index}].organisation", share.organisation)
        yield from _positive_number_faults(f"shares[{index}].weight", share.weight)
    yield from _duplicate_faults("shares", (share.organisation for share in shares))


def _rule_faults(path: str, rule: CallRule) -> Iterator[_Fault]:
    if not METHOD_PATTERN.fullmatch(rule.method):
        yield _Fault(f"{path}.method", "an HTTP method in capitals, or *")
    if not rule.path_prefix.startswith("/") or len(rule.path_prefix) > MAX_TEXT_LENGTH:
        yield _Fault(f"{path}.path_prefix", f"a path from /, at most {MAX_TEXT_LENGTH} long")


def _name_faults(field: str, name: str) -> Iterator[_Fault]:
    if not NAME_PATTERN.fullmatch(name):
        yield _Fault(field, EXPECTED_NAME)


def _text_faults(field: str, text: str) -> Iterator[_Fault]:
    if not text or len(text) > MAX_TEXT_LENGTH or not text.isprintable():
        yield _Fault(field, f"1 to {MAX_TEXT_LENGTH} printable characters")


def _positive_number_faults(field: str, number: float) -> Iterator[_Fault]:
    if not (number > 0 and math.isfinite(number)):
        yield _Fault(field, "a number above 0")


def _address_faults(field: str, address: str) -> Iterator[_Fault]:
    host, _, port = address.rpartition(":")
    if not (_is_ip(host) and port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT):
        yield _Fault(field, f"an IP number and a port of 1 to {MAX_PORT}, as 192.0.2.1:8000")


def _is_ip(host: str) -> bool:
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        return (ip_address(host[1:-1] if bracketed else host).version == 6) == bracketed
    except ValueError:
        return False


def _duplicate_faults(field: str, values: Iterable[str]) -> Iterator[_Fault]:
    for value, count in Counter(values).items():
        if count > 1:
            yield _Fault(field, f"{value} only once")


def _upstreams(spec: DeclaredSpec) -> Sequence[Upstream]:
    return spec.upstreams if isinstance(spec, Service) else (*spec.prefill, *spec.decode)


class _UniqueNames:
    """Names and addresses that must be unique across all declarations."""

    def __init__(self, specs: Sequence[DeclaredSpec]) -> None:
        upstreams = [upstream for spec in specs for upstream in _upstreams(spec)]
        self._targets = Counter(spec.name for spec in specs)
        self._names = Counter(upstream.name for upstream in upstreams)
        self._addresses = Counter(
            address
            for upstream in upstreams
            for address in (upstream.data_address, upstream.control_address)
        )

    def faults(self, spec: DeclaredSpec) -> Iterator[_Fault]:
        if self._targets[spec.name] > 1:
            yield _Fault("name", "a name that no other declaration has")
        for upstream in _upstreams(spec):
            if self._names[upstream.name] > 1:
                yield _Fault(upstream.name, "an upstream that is declared only once")
            for address in (upstream.data_address, upstream.control_address):
                if self._addresses[address] > 1:
                    yield _Fault(upstream.name, f"{address} to be given only once")
