"""Decision logic of an entry that calls upstreams without sidecars; does no I/O, reads no clock."""
