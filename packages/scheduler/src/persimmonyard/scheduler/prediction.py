"""Prediction of run times from finished runs and declared run times."""

import math
from array import array
from bisect import bisect_left, insort
from collections import OrderedDict
from collections.abc import Sequence

__all__ = ["RunTimePredictor"]

HISTORY_SIZE = 64  # runs; 2.7 KB for each key, enough for a 0.98 quantile
MAX_HISTORIES = 8_192  # 410 client accounts with 20 classes each
SUFFICIENT_HISTORY = 16  # runs; from here on no prior is used
PRIOR_QUANTILES = (0.125, 0.375, 0.625, 0.875)
DECLARATION_LOG_ERROR = math.log(10.0)  # a factor of ten either way
MIN_RUN_TIME_S = 0.001


class RunTimePredictor:
    """Predict run times in seconds for each class and client account.

    The estimate is an order statistic of the last 64 finished runs of the
    same class and client account.  It needs no assumption about the
    distribution, follows drift, and is conservative: among ``n`` runs the
    value of rank ``ceil(q * (n + 1))`` bounds the next run with probability
    ``q`` or more if runs are exchangeable.  A mean or a fitted normal
    distribution would not hold for run times that span factors of ten.

    A run can be predicted from earlier run times or from earlier ratios of
    run time to declared run time.  The one whose logarithms have the smaller
    interquartile range is used, so uninformative declarations are ignored and
    biased ones are corrected.

    An account with little history gets a prior of four values from its class.
    A class with little history gets a prior of four values from the declared
    run time, assumed log-uniform between a tenth and ten times that time.

    Example: after ``record("fit", "clinic", 60.0, 600.0)`` was called often,
    ``predict("fit", "clinic", 60.0, 0.9)`` is about 600.
    """

    def __init__(self) -> None:
        self._history_by_key: OrderedDict[tuple[str, str | None], _History]
        self._history_by_key = OrderedDict()

    def record(
        self, class_name: str, client_account: str, declared_s: float, run_s: float
    ) -> None:
        """Record a finished run; both times are in seconds."""
        log_declared = _log(declared_s)
        log_run = _log(run_s)
        self._history((class_name, None)).add(log_declared, log_run)
        self._history((class_name, client_account)).add(log_declared, log_run)

    def predict(
        self, class_name: str, client_account: str, declared_s: float, quantile: float
    ) -> float:
        """Return a quantile of the run time in seconds.

        The job runs no longer than that with probability ``quantile``, which
        must lie between 0 and 1, both excluded; another value raises
        ``ValueError``.
        """
        if not 0.0 < quantile < 1.0:
            raise ValueError(f"quantile {quantile} is not between 0 and 1")
        log_declared = _log(declared_s)
        class_history = self._history_by_key.get((class_name, None))
        if class_history is None:
            return math.exp(_declared_quantile(log_declared, quantile))
        account_history = self._history_by_key.get((class_name, client_account))
        if account_history is not None and account_history.is_sufficient():
            return math.exp(account_history.quantile(log_declared, quantile, ()))
        class_prior: list[float] = []
        if not class_history.is_sufficient():
            class_prior = [_declared_quantile(log_declared, q) for q in PRIOR_QUANTILES]
        if account_history is None:
            return math.exp(class_history.quantile(log_declared, quantile, class_prior))
        account_prior = []
        for prior_quantile in PRIOR_QUANTILES:
            account_prior.append(
                class_history.quantile(log_declared, prior_quantile, class_prior)
            )
        return math.exp(account_history.quantile(log_declared, quantile, account_prior))

    def _history(self, key: tuple[str, str | None]) -> "_History":
        history = self._history_by_key.get(key)
        if history is None:
            history = _History()
            self._history_by_key[key] = history
        self._history_by_key.move_to_end(key)
        if len(self._history_by_key) > MAX_HISTORIES:
            self._history_by_key.popitem(last=False)
        return history


class _History:
    """Ring buffer of the last runs of a class or of an account in it.

    It holds logarithms of run times in seconds and of their ratios to the
    declared run times, in the order of arrival and sorted.
    """

    def __init__(self) -> None:
        self._oldest = 0
        self._log_runs = array("d")
        self._log_ratios = array("d")
        self._sorted_log_runs = array("d")
        self._sorted_log_ratios = array("d")

    def is_sufficient(self) -> bool:
        return len(self._log_runs) >= SUFFICIENT_HISTORY

    def add(self, log_declared: float, log_run: float) -> None:
        log_ratio = log_run - log_declared
        if len(self._log_runs) < HISTORY_SIZE:
            self._log_runs.append(log_run)
            self._log_ratios.append(log_ratio)
        else:
            self._replace_oldest(log_run, log_ratio)
        insort(self._sorted_log_runs, log_run)
        insort(self._sorted_log_ratios, log_ratio)

    def _replace_oldest(self, log_run: float, log_ratio: float) -> None:
        oldest = self._oldest
        del self._sorted_log_runs[
            bisect_left(self._sorted_log_runs, self._log_runs[oldest])
        ]
        del self._sorted_log_ratios[
            bisect_left(self._sorted_log_ratios, self._log_ratios[oldest])
        ]
        self._log_runs[oldest] = log_run
        self._log_ratios[oldest] = log_ratio
        self._oldest = (oldest + 1) % HISTORY_SIZE

    def quantile(
        self, log_declared: float, quantile: float, prior: Sequence[float]
    ) -> float:
        """Return a quantile of the logarithm of the run time.

        ``prior`` holds logarithms of run times that count as additional runs.
        """
        values: Sequence[float] = self._sorted_log_runs
        offset = 0.0
        if _interquartile_range(self._sorted_log_ratios) < _interquartile_range(
            self._sorted_log_runs
        ):
            values = self._sorted_log_ratios
            offset = log_declared
        if prior:
            values = sorted([*values, *(value - offset for value in prior)])
        return offset + _order_statistic(values, quantile)


def _log(seconds: float) -> float:
    return math.log(max(seconds, MIN_RUN_TIME_S))


def _declared_quantile(log_declared: float, quantile: float) -> float:
    return log_declared + DECLARATION_LOG_ERROR * (2.0 * quantile - 1.0)


def _order_statistic(values: Sequence[float], quantile: float) -> float:
    rank = math.ceil(quantile * (len(values) + 1))
    return values[min(rank, len(values)) - 1]


def _interquartile_range(values: Sequence[float]) -> float:
    return _order_statistic(values, 0.75) - _order_statistic(values, 0.25)
