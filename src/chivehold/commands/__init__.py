"""The commands of ``chivehold``, by cleo; loaded only when one of them is used."""
