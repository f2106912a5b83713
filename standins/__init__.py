"""Simulated external systems for tests and load runs."""
