"""Release gates: what holds a job until an edition is approved and published. No I/O."""
