"""A router between callers and model engines with separate prefill and decode pools.

Public names are imported on first use, so that importing only the core loads no network code and
none of its third-party libraries.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from chivehold.core.declared import (
        CallRule,
        Declarations,
        Deployment,
        Service,
        Share,
        TrafficClass,
        Upstream,
        Weigh,
    )
    from chivehold.core.entry import EntryCore
    from chivehold.core.identity import Outcome, Role, Urgency
    from chivehold.core.policy import DecodeChoiceKind, Policy
    from chivehold.core.protocols import DecisionCore
    from chivehold.core.sidecar import SidecarCore
    from chivehold.core.sidecar_messages import SidecarConfig
    from chivehold.entry.app import run_entry
    from chivehold.exceptions import ChiveholdError, SettingsInvalid
    from chivehold.settings import (
        EntrySettings,
        SidecarSettings,
        read_entry_settings,
        read_sidecar_settings,
    )
    from chivehold.sidecar.app import run_sidecar

__all__ = [
    "CallRule",
    "ChiveholdError",
    "DecisionCore",
    "Declarations",
    "DecodeChoiceKind",
    "Deployment",
    "EntryCore",
    "EntrySettings",
    "Outcome",
    "Policy",
    "Role",
    "Service",
    "SettingsInvalid",
    "Share",
    "SidecarConfig",
    "SidecarCore",
    "SidecarSettings",
    "TrafficClass",
    "Upstream",
    "Urgency",
    "Weigh",
    "read_entry_settings",
    "read_sidecar_settings",
    "run_entry",
    "run_sidecar",
]

_MODULES = {
    "CallRule": "core.declared",
    "ChiveholdError": "exceptions",
    "DecisionCore": "core.protocols",
    "Declarations": "core.declared",
    "DecodeChoiceKind": "core.policy",
    "Deployment": "core.declared",
    "EntryCore": "core.entry",
    "EntrySettings": "settings",
    "Outcome": "core.identity",
    "Policy": "core.policy",
    "Role": "core.identity",
    "Service": "core.declared",
    "SettingsInvalid": "exceptions",
    "Share": "core.declared",
    "SidecarConfig": "core.sidecar_messages",
    "SidecarCore": "core.sidecar",
    "SidecarSettings": "settings",
    "TrafficClass": "core.declared",
    "Upstream": "core.declared",
    "Urgency": "core.identity",
    "Weigh": "core.declared",
    "read_entry_settings": "settings",
    "read_sidecar_settings": "settings",
    "run_entry": "entry.app",
    "run_sidecar": "sidecar.app",
}


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)


def __dir__() -> list[str]:
    return sorted([*globals(), *__all__])
