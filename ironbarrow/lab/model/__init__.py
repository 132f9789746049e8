"""The model: providers, directory, consumers, network and faults, free of what drives time."""
