"""The model: workers, discovery service, clients, network and faults, independent of the clock's kind."""
