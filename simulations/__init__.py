"""In-memory simulations of the real decision code, for tests and benchmarks."""
