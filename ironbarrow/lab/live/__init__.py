"""Live mode: the model's parties on loopback sockets, in real time, round processes of the program."""
