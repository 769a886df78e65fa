"""Capacity estimates: what each server can take now, by its responses, silences, pace, start and failures.

Pure: no module here does I/O or reads a clock; `now` is an argument.
"""
