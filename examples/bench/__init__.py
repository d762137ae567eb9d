"""Compares the cost of a relayed request and of a streamed chunk with that of a bare proxy hop."""
