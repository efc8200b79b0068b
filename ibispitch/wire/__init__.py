"""Wire formats between the processes of ibispitch.

Data-path frames carry datagrams of callers over UDP. Control messages are
msgpack arrays in UDP frames or in authenticated TCP streams.
"""

from ibispitch.wire.errors import WireError
from ibispitch.wire.frames import decode_frame
from ibispitch.wire.frames import encode_frame
from ibispitch.wire.frames import Frame
from ibispitch.wire.frames import FrameFlag
from ibispitch.wire.frames import FrameKind
from ibispitch.wire.frames import Keyring
from ibispitch.wire.frames import NO_ADDRESS
from ibispitch.wire.messages import control_message
from ibispitch.wire.messages import decode_message
from ibispitch.wire.messages import encode_message

__all__ = [
    'NO_ADDRESS',
    'Frame',
    'FrameFlag',
    'FrameKind',
    'Keyring',
    'WireError',
    'control_message',
    'decode_frame',
    'decode_message',
    'encode_frame',
    'encode_message',
]
