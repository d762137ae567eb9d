"""The sidecar: the only gate to its upstream."""
