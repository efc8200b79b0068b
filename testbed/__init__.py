"""Stand-ins for the systems around ibispitch, load and measurements.

Tests, benchmarks and the demonstration use this package. The ``ibispitch``
package does not import it.
"""
