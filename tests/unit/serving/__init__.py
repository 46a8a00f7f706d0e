"""Unit tests of entry VMs that serve by routes."""
