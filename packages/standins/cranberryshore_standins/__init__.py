"""Stand-ins for the platform's services, workers and upstreams.

Only the tests, the demonstration and the benchmark use them.
"""
