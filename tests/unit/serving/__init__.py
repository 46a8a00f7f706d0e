"""Unit tests of serving by routes."""
