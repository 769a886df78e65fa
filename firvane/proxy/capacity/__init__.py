"""Rooms by evidence: what each box can take now, told apart from silence, slowness, cold and gone. Pure."""
