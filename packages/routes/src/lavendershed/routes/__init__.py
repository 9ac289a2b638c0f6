"""Routes, services, organisations and limits of a deployment."""
