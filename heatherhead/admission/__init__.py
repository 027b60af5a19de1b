"""Admission control: call queues, concurrency limits, retry budgets, grants and the key table."""
