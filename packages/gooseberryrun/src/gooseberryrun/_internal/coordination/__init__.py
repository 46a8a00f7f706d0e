"""Coordination layer: decisions and the tasks that carry them out.

Names are imported when they are first used, so that a face loads only what it needs;
``__init__.pyi`` lists them.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
