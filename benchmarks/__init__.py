"""Measurements: commands that print figures and keep them under results."""
