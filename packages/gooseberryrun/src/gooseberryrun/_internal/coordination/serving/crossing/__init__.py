"""Exchange of pressure between failure domains, and requests that leave theirs."""

from ._crossing import Crossing, Departure

__all__ = ["Crossing", "Departure"]
