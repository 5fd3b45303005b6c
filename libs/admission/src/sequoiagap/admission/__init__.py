"""Admission of requests: fair shares, queues, budgets and endpoint limits."""
