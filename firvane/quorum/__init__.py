"""One policy everywhere or nowhere: ballots among a few voters, leases for all, and what a policy's file is."""
