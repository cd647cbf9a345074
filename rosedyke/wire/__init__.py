"""Messages between entry instances: encoding and transport."""
