"""An entry that calls its upstreams directly, without sidecars."""
