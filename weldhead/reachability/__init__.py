"""Who is heard, and who hears: decisions on what machines say and on what they are told."""
