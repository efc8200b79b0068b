"""Settings files in JSON with comments, checked before a program starts.

The types of the settings of each program are in
:mod:`ibispitch.settings.programs`.
"""

from ibispitch.settings.loader import load_settings
from ibispitch.settings.loader import SettingsError

__all__ = ['SettingsError', 'load_settings']
