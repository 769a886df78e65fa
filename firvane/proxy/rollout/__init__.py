"""A rolling change of the program or its settings in stages, stopped when a stage does worse."""
