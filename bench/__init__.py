"""Benchmarks. Timings are measured here and not in the tests."""
