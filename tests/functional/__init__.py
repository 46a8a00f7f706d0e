"""Tests of deployments that run as separate processes."""
