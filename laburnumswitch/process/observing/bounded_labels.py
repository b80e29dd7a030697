"""Bound of the label values of a metric whose names come from the configuration."""

# Each label value is a time series that the operators' monitoring keeps.
MAX_LABELS = 50
OTHER_LABEL = "other"


class BoundedLabels:
    """The first ``max_labels`` names get a label value of their own, all later ones ``other``.

    :ivar values: the label values so far. One whose name is gone still has to be reported as 0, as
        the last value of a time series stays otherwise.
    """

    def __init__(self, max_labels: int = MAX_LABELS) -> None:
        self.values: list[str] = []
        self._max_labels = max_labels

    def label(self, name: str) -> str:
        """Return the label value of a name."""
        if name in self.values:
            return name
        value = name if len(self.values) < self._max_labels else OTHER_LABEL
        if value not in self.values:
            self.values.append(value)
        return value
