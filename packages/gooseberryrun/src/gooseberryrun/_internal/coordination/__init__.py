"""Coordination layer: scheduling, ownership, replication and request execution.

Names are imported on first use, so that each mode of the server loads only the modules
that it needs; ``__init__.pyi`` lists them.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
