"""Resource limits: memory, descriptors, work in an iteration of the loop, load shedding, overload actions.

Pure: no module here does I/O, reads a clock or draws; measurements and `now` are arguments.
"""
