"""Who is there: members of the cluster, their incarnations, and the detection of those that failed."""
