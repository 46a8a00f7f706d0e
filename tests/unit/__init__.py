"""Tests of pure code."""
