"""What each role of the program costs as the fleet grows: counts, their slopes, and the target's budget."""
