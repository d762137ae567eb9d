"""Measures the policy: the cores and the stand-in engine's cost model on one clock."""
