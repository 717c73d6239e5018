"""Reads the Prometheus text format."""

from prometheus_client.parser import text_string_to_metric_families


def sum_samples(text: str, name: str, **labels: str) -> float:
    r"""Return the sum of a metric's samples that carry all the given labels.

    Examples
    --------
    >>> text = '# TYPE a counter\na_total{k="x"} 2.0\na_total{k="y"} 3.0\n'
    >>> sum_samples(text, "a_total"), sum_samples(text, "a_total", k="x")
    (5.0, 2.0)
    """
    return sum(
        sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == name and labels.items() <= sample.labels.items()
    )
