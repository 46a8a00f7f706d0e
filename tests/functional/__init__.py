"""Tests with separate processes."""
