"""Codecs between bytes and messages, without input or output."""
