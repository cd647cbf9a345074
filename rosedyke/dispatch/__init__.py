"""Schedules tasks on backend servers: slots, run times, queues, admission and ejection."""
