"""Estimates and endpoint lists that a proxy stores on disk for its next process."""
