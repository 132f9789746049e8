"""Codecs on sockets of the loop: whole messages, with size and time limits."""
