"""The admin API of one proxy: calls of operators and their responses."""
