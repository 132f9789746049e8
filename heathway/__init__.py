"""heathway: decides, for a dispatcher that pushes jobs, which worker gets each job and when."""
