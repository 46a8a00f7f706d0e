"""Selects the eventlet hub of gooseberryrun, for unit tests that open sockets."""

import eventlet.hubs
from gooseberryrun._hub import Hub

eventlet.hubs.use_hub(Hub)
