"""Codecs: bytes to messages and back, with no input or output of their own."""
