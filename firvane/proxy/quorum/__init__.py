"""One policy everywhere or nowhere: ballots among a few voters, leases for all, and texts by digest."""
