"""Resource limits: memory, descriptors, work per event loop iteration, load shedding, overload actions.

Pure: no module here does I/O, reads a clock or creates a random generator; measurements, `now` and generators
are arguments.
"""
