"""An entry that reaches its upstreams itself, where no sidecar stands beside them."""
