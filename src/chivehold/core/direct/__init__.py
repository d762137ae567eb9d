"""Decisions of an entry that reaches its upstreams without sidecars; no I/O, no clock."""
