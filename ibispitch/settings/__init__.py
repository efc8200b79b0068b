"""Settings files in JSON with comments, checked before a program starts.

The slice keeps no state. The types of the programs' settings are in
:mod:`ibispitch.settings.programs`.
"""

from ibispitch.settings.loader import load_settings
from ibispitch.settings.loader import SettingsError

__all__ = ['SettingsError', 'load_settings']
