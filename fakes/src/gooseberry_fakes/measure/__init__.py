"""Measurements run by ``tools/measure``."""
