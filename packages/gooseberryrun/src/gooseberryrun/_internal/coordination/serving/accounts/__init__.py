"""Checks of client accounts while requests are served."""

from ._authentication import Authentication, Authenticator, forwarded_account

__all__ = ["Authentication", "Authenticator", "forwarded_account"]
