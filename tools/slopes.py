"""Measures how costs grow with size, and fits a line to each measurement.

Every measurement is a registered function from a size to a cost, measured at
four sizes or more. The output is one JSON object per line, with intercept,
slope, and the largest residual as a fraction of the largest value.
"""

import argparse
import json
import statistics

from tools import slope_core_measures, slope_measures  # noqa: F401
from tools.measurement import MEASUREMENTS


def fitted(name: str) -> dict[str, object]:
    """Measure at each size and return the fitted line."""
    entry = MEASUREMENTS.lookup(name)
    measured = [entry.measure(size) for size in entry.sizes]
    line = statistics.linear_regression(entry.sizes, measured)
    residuals = [
        abs(cost - line.slope * size - line.intercept)
        for size, cost in zip(entry.sizes, measured, strict=True)
    ]
    return {
        'measure': name,
        'unit': entry.unit,
        'per': entry.per,
        'slope': line.slope,
        'intercept': line.intercept,
        'residual_ratio': max(residuals) / max(measured),
        'sizes': entry.sizes,
        'measured': [round(cost, 4) for cost in measured],
    }


def main() -> None:
    """Run the measurements named on the command line, or all."""
    parser = argparse.ArgumentParser(prog='tools.slopes')
    parser.add_argument('names', nargs='*')
    options = parser.parse_args()
    for name in options.names or tuple(MEASUREMENTS):
        print(json.dumps(fitted(name)), flush=True)


if __name__ == '__main__':
    main()
