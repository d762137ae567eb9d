"""Run both example sites as processes under load and faults, and check their guarantees."""
