"""Work in hand that outlives its dispatcher: written down before it is done, taken over once."""
