"""Implementation of gooseberryctl; nothing below this package is a public API."""
