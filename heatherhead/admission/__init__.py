"""Queues, limits, retry budgets, grants and the key table."""
