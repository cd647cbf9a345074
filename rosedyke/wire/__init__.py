"""Messages between entry instances and how they travel."""
