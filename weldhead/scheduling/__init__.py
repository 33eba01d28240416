"""Placing, claiming and sizing: functions of a snapshot and a time; nothing waits or sends."""
