"""Protocol connections on the sockets of the event loop, with limits on size and time."""
