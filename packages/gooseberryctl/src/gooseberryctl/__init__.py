"""Command-line client for operators of gooseberryrun."""

__version__ = "0.1.0"
