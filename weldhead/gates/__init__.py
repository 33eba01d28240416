"""Release gates: hold jobs until an edition of their input is approved and published. No I/O."""
