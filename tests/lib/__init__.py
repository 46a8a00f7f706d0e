"""Helpers shared by unit and functional tests."""
