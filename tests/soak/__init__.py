"""A randomized soak of ``chivehold direct``: real processes, faults from outside, and a judge.

``python -m tests.soak --help`` tells how it is run; ``make soak`` plays fresh seeds.
"""
