"""A router between callers and model engines with separate prefill and decode pools."""
