"""Fair queueing, retry budgets and quotas."""

from cranberryshore.limits.fair_queue import FairQueue
from cranberryshore.limits.quota import QuotaBook
from cranberryshore.limits.retry_budget import RetryBudget
from cranberryshore.limits.token_bucket import TokenBucket

__all__ = ["FairQueue", "QuotaBook", "RetryBudget", "TokenBucket"]
