"""Jobs: claims, registrars, answers and what may be said about whether a task ran."""
