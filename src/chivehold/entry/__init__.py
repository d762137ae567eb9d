"""The entry: callers, operators, admission and the path of a request."""
