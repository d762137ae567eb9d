"""Small stand-ins of the systems outside: engines, plain services and the platform."""
