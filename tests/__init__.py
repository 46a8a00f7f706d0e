"""Tests of the workspace."""
