"""The sidecar, a process beside an upstream through which all its work passes."""
