"""Benchmarks; each prints a table and writes its results as JSON."""
