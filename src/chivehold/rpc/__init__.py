"""Operators' and processes' remote calls: generated code and the bridge to trio."""
