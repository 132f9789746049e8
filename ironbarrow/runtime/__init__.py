"""Event loop, timers and sockets. Depends on no protocol and on nothing job-related."""
