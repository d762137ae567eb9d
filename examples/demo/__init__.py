"""Runs both example sites as processes under load and faults, and checks their promises."""
