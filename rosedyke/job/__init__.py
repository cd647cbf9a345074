"""Jobs: submission, claims and their registrars, final answers and lookup."""
