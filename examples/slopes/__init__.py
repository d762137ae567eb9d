"""Measures how the cost of each role grows with the number of its peers, requests and records."""
