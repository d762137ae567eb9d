"""Histories of concurrent runs, and checkers for the promises that must hold in them.

Record a run with ``recorder.Recorder``, then pass its history to ``checks.check_all`` or to a
single checker. Every checker is a pure function that returns the violations found in a history.
"""
