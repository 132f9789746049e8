"""Recovery of jobs: a dispatcher records each job before it runs, and one other member takes over its ledger
when it ends."""
