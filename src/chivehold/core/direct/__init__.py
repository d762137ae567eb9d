"""Decision logic of an entry that calls upstreams without sidecars; does no I/O, reads no clock.

An entry is a router process between callers and upstreams. Several entries serve the same upstreams
independently of each other.
"""
