"""The server that accepts jobs from clients and returns their final answers."""
