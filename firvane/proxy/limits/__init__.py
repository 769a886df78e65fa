"""What the proxy may hold and do: memory, descriptors, turns of the loop, and what to give up under pressure.

Pure: no file here opens, reads a clock or draws; figures and `now` are handed in.
"""
