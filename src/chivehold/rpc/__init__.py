"""The gRPC layer: generated code, conversions of its messages, servers and channels for trio."""
