"""The gRPC layer: generated code, conversions of its messages, and servers and channels for trio."""
