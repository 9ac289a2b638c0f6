"""Translation between lavendershed and the users' platform."""
