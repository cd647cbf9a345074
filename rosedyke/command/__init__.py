"""The command-line tool ``rosedyke``."""
