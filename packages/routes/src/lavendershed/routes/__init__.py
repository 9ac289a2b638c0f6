"""Configuration of routes, services, organisations and request limits."""
