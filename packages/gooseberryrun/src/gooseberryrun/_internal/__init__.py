"""Implementation of gooseberryrun; nothing below this package is a public API."""
