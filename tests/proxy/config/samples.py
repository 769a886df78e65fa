"""Small valid files, in which tests replace single places."""

CONFIG = """\
listen = "127.0.0.1:0"
name = "edge"
[target_group]
targets = [{ address = "127.0.0.1:9" }, { address = "127.0.0.1:10", name = "two", weight = 2.5 }]
[[classes]]
name = "read"
aim_ms = 500
deadline_ms = 2000
repeat = "safe"
"""

SCENARIO = """\
name = "short"
seconds = 5
warm_up_s = 0.5
[load]
rate = 50
[[troubles]]
kind = "silent"
at_s = 2
for_s = 1
"""
