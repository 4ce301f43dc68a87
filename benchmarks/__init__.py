"""Benchmarks of decisions and costs, run on stand-ins."""
