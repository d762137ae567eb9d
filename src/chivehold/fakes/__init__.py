"""In-process and command-line stand-ins for engines, plain services and the platform."""
