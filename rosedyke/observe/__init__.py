"""What an instance reports about itself: numbered log events and statsd metrics."""
