"""Query and command line for gooseberryrun operators."""

__version__ = "0.1.0"
