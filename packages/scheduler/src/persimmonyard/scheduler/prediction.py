"""Predicted run times by quantile, from finished runs and the declaration."""

import math
from array import array
from bisect import bisect_left, insort
from collections import OrderedDict
from collections.abc import Sequence

__all__ = ["RunTimePredictor"]

RING_SIZE = 64  # 2.7 KB for each key; enough for a 0.98 quantile
MAX_KEYS = 8_192  # 410 client accounts with 20 classes each
FULL_HISTORY = 16  # from here on a key's own runs decide alone
PSEUDO_QUANTILES = (0.125, 0.375, 0.625, 0.875)
DECLARATION_ERROR = math.log(10.0)  # declarations are off by ten either way
MIN_SECONDS = 0.001


class RunTimePredictor:
    """Predict run times in seconds by class and client account.

    The estimate is an order statistic of the last 64 finished runs of the
    same class and client account.  It needs no assumption about the
    distribution, follows drift, and is conservative: among ``n`` runs the
    value of rank ``ceil(q * (n + 1))`` bounds the next run with probability
    ``q`` or more if runs are exchangeable.  A mean or a fitted normal
    distribution would not hold for run times that span factors of ten.

    A run can be predicted from earlier run times or from earlier ratios of
    run time to declaration.  The one with the smaller interquartile range
    of logarithms is used, so a useless declaration is ignored and a biased
    one is corrected.

    A key with little history borrows four values from its class, and a class
    with little history four values from the declaration, taken as uniform in
    logarithm between a tenth and ten times the declared run time.

    Example: after ``record("fit", "clinic", 60.0, 600.0)`` was called often,
    ``predict("fit", "clinic", 60.0, 0.9)`` is about 600.
    """

    def __init__(self) -> None:
        self._history_by_key: OrderedDict[tuple[str, str | None], _History]
        self._history_by_key = OrderedDict()

    def record(
        self, class_name: str, client_account: str, declared_s: float, run_s: float
    ) -> None:
        """Take note of a finished run; both times are in seconds."""
        declared = _log(declared_s)
        run = _log(run_s)
        self._history((class_name, None)).add(declared, run)
        self._history((class_name, client_account)).add(declared, run)

    def predict(
        self, class_name: str, client_account: str, declared_s: float, quantile: float
    ) -> float:
        """Return seconds that the run stays within with this probability.

        ``quantile`` lies between 0 and 1, both excluded; another value raises
        ``ValueError``.
        """
        if not 0.0 < quantile < 1.0:
            raise ValueError(f"quantile {quantile} is not between 0 and 1")
        declared = _log(declared_s)
        of_class = self._history_by_key.get((class_name, None))
        if of_class is None:
            return math.exp(_declared_quantile(declared, quantile))
        own = self._history_by_key.get((class_name, client_account))
        if own is not None and own.is_full():
            return math.exp(own.quantile(declared, quantile, ()))
        class_prior: list[float] = []
        if not of_class.is_full():
            class_prior = [_declared_quantile(declared, q) for q in PSEUDO_QUANTILES]
        if own is None:
            return math.exp(of_class.quantile(declared, quantile, class_prior))
        own_prior = []
        for pseudo in PSEUDO_QUANTILES:
            own_prior.append(of_class.quantile(declared, pseudo, class_prior))
        return math.exp(own.quantile(declared, quantile, own_prior))

    def _history(self, key: tuple[str, str | None]) -> "_History":
        history = self._history_by_key.get(key)
        if history is None:
            history = _History()
            self._history_by_key[key] = history
        self._history_by_key.move_to_end(key)
        if len(self._history_by_key) > MAX_KEYS:
            self._history_by_key.popitem(last=False)
        return history


class _History:
    """The last runs of one key, as logarithms of seconds and of ratios."""

    def __init__(self) -> None:
        self._oldest = 0
        self._runs = array("d")
        self._ratios = array("d")
        self._sorted_runs = array("d")
        self._sorted_ratios = array("d")

    def is_full(self) -> bool:
        return len(self._runs) >= FULL_HISTORY

    def add(self, declared: float, run: float) -> None:
        ratio = run - declared
        if len(self._runs) < RING_SIZE:
            self._runs.append(run)
            self._ratios.append(ratio)
        else:
            self._replace_oldest(run, ratio)
        insort(self._sorted_runs, run)
        insort(self._sorted_ratios, ratio)

    def _replace_oldest(self, run: float, ratio: float) -> None:
        oldest = self._oldest
        del self._sorted_runs[bisect_left(self._sorted_runs, self._runs[oldest])]
        del self._sorted_ratios[bisect_left(self._sorted_ratios, self._ratios[oldest])]
        self._runs[oldest] = run
        self._ratios[oldest] = ratio
        self._oldest = (oldest + 1) % RING_SIZE

    def quantile(
        self, declared: float, quantile: float, prior: Sequence[float]
    ) -> float:
        """Return a quantile of the logarithm of the run time.

        ``prior`` holds logarithms of run times that count as further runs.
        """
        values: Sequence[float] = self._sorted_runs
        offset = 0.0
        if _spread(self._sorted_ratios) < _spread(self._sorted_runs):
            values = self._sorted_ratios
            offset = declared
        if prior:
            values = sorted([*values, *(value - offset for value in prior)])
        return offset + _rank_value(values, quantile)


def _log(seconds: float) -> float:
    return math.log(max(seconds, MIN_SECONDS))


def _declared_quantile(declared: float, quantile: float) -> float:
    return declared + DECLARATION_ERROR * (2.0 * quantile - 1.0)


def _rank_value(values: Sequence[float], quantile: float) -> float:
    rank = math.ceil(quantile * (len(values) + 1))
    return values[min(rank, len(values)) - 1]


def _spread(values: Sequence[float]) -> float:
    return _rank_value(values, 0.75) - _rank_value(values, 0.25)
