"""Benchmarks of the product; their results are in bench/results."""
