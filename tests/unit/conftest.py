"""The hub of the product, for unit tests that open sockets."""

import eventlet.hubs
from gooseberryrun._hub import Hub

eventlet.hubs.use_hub(Hub)
