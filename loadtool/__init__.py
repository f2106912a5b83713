"""A load and experiment tool over real processes on loopback."""
