"""Retry budget and exponential backoff."""

from ibispitch.retry.backoff import backoff_s
from ibispitch.retry.budget import RetryBudget

__all__ = ['RetryBudget', 'backoff_s']
