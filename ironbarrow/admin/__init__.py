"""The door for operators: readiness, figures, workers taken out of use by hand."""
