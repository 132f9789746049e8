"""Jobs, attempts and endings: what every front and every back shares."""
