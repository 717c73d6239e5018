"""Fair queueing, quotas, retry budgets and rate limits."""

from cranberryshore.limits.fair_queue import FairQueue
from cranberryshore.limits.quota import TeamQuotas
from cranberryshore.limits.retry_budget import RetryBudget
from cranberryshore.limits.token_bucket import TokenBucket

__all__ = ["FairQueue", "RetryBudget", "TeamQuotas", "TokenBucket"]
