"""Tests of serving by routes with separate processes."""
