"""A dispatcher for sub-second tasks that repairs itself and explains what it did."""
