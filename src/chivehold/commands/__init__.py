"""Subcommands of ``chivehold``, built on cleo; not imported by the daemons."""
