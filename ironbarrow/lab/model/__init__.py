"""The model: workers, service discovery, clients, network and faults, free of what drives time."""
