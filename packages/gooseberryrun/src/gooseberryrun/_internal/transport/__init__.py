"""Transport layer: connections to callers, backend servers, platform and peers.

Names are imported on first use, so that each mode (standalone or platform) loads only
the modules it needs; ``__init__.pyi`` lists them.
"""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach_stub(__name__, __file__)
