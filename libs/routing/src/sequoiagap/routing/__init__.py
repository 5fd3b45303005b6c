"""Choice of an endpoint for an attempt."""
