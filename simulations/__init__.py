"""Worlds in memory around the real decision code, for tests and benchmarks."""
