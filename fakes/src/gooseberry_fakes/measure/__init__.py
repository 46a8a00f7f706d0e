"""Measurements: tools/measure overhead, recovery, policy and slopes."""
