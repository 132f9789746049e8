"""What the processes of a fleet share, and what they decide with it. Off unless a fleet file is given."""
