"""Tests of serving by routes through real processes."""
