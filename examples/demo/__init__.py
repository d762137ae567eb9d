"""Both deployments of the examples as processes, under load and faults, with their promises."""
