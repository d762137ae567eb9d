"""The gRPC layer: generated code, conversions of its messages, and the bridge to trio."""
