"""Fault soak: plays seeded fault schedules against real processes."""
