"""Tests, one package for each package of the product."""
