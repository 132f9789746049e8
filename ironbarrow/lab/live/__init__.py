"""Live mode: real dispatcher processes, with model workers, clients and discovery on loopback."""
