"""Entry point of the ``gooseberryctl`` binary."""

from __future__ import annotations

from gooseberryctl._internal.cli import make_cli


def main() -> None:
    """Run the command given on the command line."""
    make_cli()()


if __name__ == "__main__":
    main()
