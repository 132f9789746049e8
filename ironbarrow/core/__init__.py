"""Jobs, invoker calls and endings: what every front and every back shares."""
