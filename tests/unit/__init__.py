"""Unit tests, most of them without other processes or sockets."""
