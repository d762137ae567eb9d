"""Measures how the cost of each role grows with what it has to do with."""
