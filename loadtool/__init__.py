"""Load and fault-injection runs with real processes on loopback."""
