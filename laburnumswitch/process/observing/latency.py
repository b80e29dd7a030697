"""Running estimates of latency quantiles."""

QUANTILE = 0.95
# Bound on the relative change of the estimate by one sample.
QUANTILE_STEP = 0.05
INITIAL_QUANTILE_S = 0.1
# Samples after which the estimate is reliable.
MIN_SAMPLES = 50


class QuantileEstimate:
    """Running estimate of a high quantile of a service's latency, in constant memory.

    A sample above the estimate raises it by more than one below lowers it, so that the two balance
    where a fraction ``quantile`` of the samples is below.
    """

    def __init__(self, quantile: float = QUANTILE, initial_s: float = INITIAL_QUANTILE_S) -> None:
        self.samples = 0
        self.value_s = initial_s
        self._increase_factor = 1.0 + QUANTILE_STEP * quantile
        self._decrease_factor = 1.0 - QUANTILE_STEP * (1.0 - quantile)

    def add(self, sample_s: float) -> None:
        """Update the estimate with one sample, in seconds."""
        self.samples += 1
        self.value_s *= self._increase_factor if sample_s > self.value_s else self._decrease_factor

    def is_reliable(self) -> bool:
        """Return whether the estimate is based on enough samples."""
        return self.samples >= MIN_SAMPLES
