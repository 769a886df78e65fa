"""Decisions for prompts: which model server reads which prompt, when to repeat, and what is turned away."""
