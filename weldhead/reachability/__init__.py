"""Decisions on which machines are lost, and which send heartbeats but receive no answers."""
