"""The test suite, with one package for each package under test."""
