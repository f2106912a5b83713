"""Assigns tasks to leased executors and tracks their runs."""
