"""Cost of a relayed request and of a streamed chunk, as ratios to a bare hop."""
