"""Running estimates of latency."""

QUANTILE = 0.95
QUANTILE_STEP = 0.05
FIRST_QUANTILE_S = 0.1
MIN_SAMPLES = 50


class QuantileEstimate:
    """Running estimate of a high quantile of a service's latency, from one number of state."""

    def __init__(self, quantile: float = QUANTILE, first_s: float = FIRST_QUANTILE_S) -> None:
        self.samples = 0
        self.value_s = first_s
        self._up = 1.0 + QUANTILE_STEP * quantile
        self._down = 1.0 - QUANTILE_STEP * (1.0 - quantile)

    def add(self, sample_s: float) -> None:
        """Move the estimate by one sample in seconds."""
        self.samples += 1
        self.value_s *= self._up if sample_s > self.value_s else self._down

    def is_known(self) -> bool:
        """Return whether there were enough samples to rely on."""
        return self.samples >= MIN_SAMPLES
