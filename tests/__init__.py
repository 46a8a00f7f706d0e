"""Unit and functional tests of all packages."""
