"""Where and when tasks run: slots, speeds, queues, admission and ejection."""
