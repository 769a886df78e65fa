"""The operators' door: what staff ask of one proxy, and what it tells them."""
