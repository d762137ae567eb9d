"""The entry process: serves callers and operators, admits requests and routes them."""
