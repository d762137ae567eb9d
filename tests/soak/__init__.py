"""A randomized soak test of ``chivehold direct``: real processes, injected faults, and checks.

``python -m tests.soak --help`` lists the options; ``make soak`` runs random seeds.
"""
