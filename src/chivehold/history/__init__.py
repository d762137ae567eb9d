"""Histories of concurrent runs and checkers of what must hold in them.

Record a run with ``recorder.Recorder``, then give its history to ``checks.check_all`` or to a
single checker. Every checker is a pure function from a history to the violations found.
"""
