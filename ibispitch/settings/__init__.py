"""Settings files in JSON with comments, checked before a program starts.

The types of the settings of each program are in
:mod:`ibispitch.settings.programs`. This package imports nothing, because the
programs on the prepared platform import one of its modules and lack the
libraries of the others.
"""
