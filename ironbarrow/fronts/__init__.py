"""Where jobs come in and final answers go out."""
