"""Measures the policy by simulating the cores and the engine's cost model on a virtual clock."""
