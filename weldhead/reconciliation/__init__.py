"""The decisions of a term's start: functions of what is known and a time, nothing else."""
