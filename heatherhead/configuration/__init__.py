"""The service model, its replica on each instance and its dissemination."""
