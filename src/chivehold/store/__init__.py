"""The platform's object API, and what entries keep there: leases, claims and declarations."""
