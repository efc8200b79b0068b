import pytest

from ibispitch.catalogue import editor as editor_module
from ibispitch.catalogue.documents import Entry
from ibispitch.catalogue.editor import Actor
from ibispitch.catalogue.editor import CatalogueEditor


def make_entry(service='returns', port=5683, **fields):
    defaults = {'owner': 'omaheke', 'class_name': 'interactive'}
    address = f'127.0.0.1:{port}'
    return Entry(service=service, addresses=[address], **(defaults | fields))


@pytest.fixture
def make_editor(store, monkeypatch):
    monkeypatch.setattr(editor_module, 'WRITE_RETRY_DELAY_S', 0.01)

    def make(name='alice', owners=None, **options):
        actor = Actor(name, owners)
        return CatalogueEditor(store, 'test', actor, **options)

    return make
