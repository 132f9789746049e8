"""Sending attempts to workers."""
