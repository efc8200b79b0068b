"""Tests that the documentation agrees with the code and existing files."""

import importlib
import json
from pathlib import Path
import pkgutil
import re
from typing import get_type_hints

from click.testing import CliRunner
import msgspec
import pytest

import ibispitch
from ibispitch.ctl import main as ctl_main
from ibispitch.settings import overload
from ibispitch.settings import programs
from ibispitch.wire import messages

ROOT = Path(__file__).parent.parent
OPERATIONS = (ROOT / 'docs/OPERATIONS.md').read_text(encoding='utf-8')
PAGES = ['README.md', *(f'docs/{p.name}' for p in ROOT.glob('docs/*.md'))]
SOURCES = {
    path: path.read_text(encoding='utf-8')
    for path in ROOT.glob('ibispitch/**/*.py')
}
EVENT = re.compile(r"\blog\(\s*Severity\.[^']*?'([a-z_.]+)'")
METRIC = re.compile(
    r'(?:[cC]ounts?|Measure|record)\(\s*'
    r"'((?:gate_[a-z_]+|[a-z]+(?:\.[a-z_]+)+))'"
)
GAUGES = re.compile(r'for read in \(([^)]*)\)')
SETTING = re.compile(r'^    ([a-z_]+): ', re.MULTILINE)
FAULT = re.compile(r"^    [A-Z_]+ = '([a-z_]+)'", re.MULTILINE)
FILE = re.compile(
    r'`((?:[\w.-]+/)*[\w.-]+\.(?:md|py|toml|txt|lock)|NEWS|\.ci/run)`'
)
TARGET = re.compile(r'\bmake ([a-z]+)\b')


def found(pattern: re.Pattern) -> set[str]:
    return {
        name for text in SOURCES.values() for name in pattern.findall(text)
    }


def is_named(name: str) -> bool:
    """Return whether the operations page has the name, marked as code."""
    return f'`{name}`' in OPERATIONS


def section(title: str) -> str:
    return OPERATIONS.split(f'\n### {title}\n')[1].split('\n#')[0]


def settings_of(class_name: str) -> set[str]:
    source = SOURCES[ROOT / 'ibispitch/settings/programs.py']
    body = source.split(f'class {class_name}(')[1].split('\nclass ')[0]
    body = body.split('"""')[2].split('    def ')[0]
    return set(SETTING.findall(body))


@pytest.mark.parametrize(
    ('class_name', 'title', 'prefix'),
    [
        ('BalancerSettings', 'ibispitch-balancer', ''),
        ('AgentSettings', 'ibispitch-agent', ''),
        ('ControlSettings', 'ibispitchctl', ''),
        ('StoreSettings', 'Parts', 'store.'),
        ('TokenSettings', 'Parts', 'tokens[].'),
        ('LogSettings', 'Parts', 'log.'),
        ('MetricsSettings', 'Parts', 'metrics.'),
    ],
)
def test_settings_are_documented(class_name, title, prefix):
    """Each setting must be on the page, with its meaning and default."""
    names = settings_of(class_name)
    assert len(names) >= 2
    page = section(title)
    missing = {n for n in names if f'`{prefix}{n}`' not in page}
    assert not missing


@pytest.mark.parametrize(
    ('class_name', 'title', 'prefix'),
    [
        ('BalancerSettings', 'ibispitch-balancer', ''),
        ('AgentSettings', 'ibispitch-agent', ''),
        ('ControlSettings', 'ibispitchctl', ''),
        ('StoreSettings', 'Parts', 'store.'),
        ('TokenSettings', 'Parts', 'tokens[].'),
        ('LogSettings', 'Parts', 'log.'),
        ('MetricsSettings', 'Parts', 'metrics.'),
    ],
)
def test_defaults_are_those_of_the_code(class_name, title, prefix):
    """The defaults on the page must be those of the code."""
    documented = dict(
        re.findall(
            r'^\| `([^`]+)` \| (`[^`]*`|required) \|', section(title), re.M
        )
    )
    checked = 0
    for field in msgspec.structs.fields(getattr(programs, class_name)):
        shown = documented.get(prefix + field.name)
        if field.name in ('log', 'metrics'):
            continue
        checked += 1
        if field.required:
            assert shown == 'required', field.name
        elif field.default_factory is not msgspec.NODEFAULT:
            assert json.loads(shown.strip('`')) == field.default_factory()
        else:
            assert json.loads(shown.strip('`')) == field.default, field.name
    assert checked >= 2


def test_messages_are_in_the_design():
    """The design must list each message with its fields."""
    for module in pkgutil.walk_packages(ibispitch.__path__, 'ibispitch.'):
        if not module.name.endswith('__main__'):
            importlib.import_module(module.name)
    design = ' '.join((ROOT / 'docs/design.md').read_text().split())
    own = {
        tag: message
        for tag, message in messages.type_by_tag.items()
        if message.__module__.startswith('ibispitch.')
        and not tag.startswith('example.')
    }
    assert len(own) > 40
    missing = {
        tag
        for tag, message in own.items()
        if f'`{tag}`' not in design
        or f'`{message.__name__}({", ".join(message.__struct_fields__)})`'
        not in design
    }
    assert not missing


def test_log_events_are_documented():
    """Each log event must be on the page, so that operators can look it up."""
    events = found(EVENT)
    calls = sum(
        len(re.findall(r'(?<!def )\blog\(\s*Severity', text))
        for text in SOURCES.values()
    )
    assert sum(len(EVENT.findall(t)) for t in SOURCES.values()) == calls
    assert not {name for name in events if not is_named(name)}


def test_metrics_are_documented():
    """Each counter, gauge and histogram must be on the page."""
    names = found(METRIC)
    for group in found(GAUGES):
        names |= {f'balancer.{n}' for n in re.findall(r"'(\w+)'", group)}
    assert {
        'balancer.packets',
        'gate_refusals',
        'gate.request.latency',
    } <= names
    assert {'balancer.taken_in', 'balancer.sent_back'} <= names
    assert not {name for name in names if not is_named(name)}


@pytest.mark.parametrize(
    'module',
    [
        'wire/errors.py',
        'store/errors.py',
        'catalogue/errors.py',
        'admin/errors.py',
    ],
)
def test_faults_are_documented(module):
    """Each kind of error must be on the page, with its remedy."""
    names = set(FAULT.findall(SOURCES[ROOT / 'ibispitch' / module]))
    assert names
    assert not {name for name in names if not is_named(name)}


@pytest.mark.parametrize('page', PAGES)
def test_named_files_and_targets_exist(page):
    """Files and make targets that pages name must exist."""
    text = (ROOT / page).read_text(encoding='utf-8')
    parents = (ROOT, ROOT / 'ibispitch')
    missing = {
        name
        for name in FILE.findall(text)
        if '/' in name or name.endswith('.md') or name == 'NEWS'
        if not any((parent / name).exists() for parent in parents)
    }
    assert not missing
    targets = re.findall(r'^([a-z]+):', (ROOT / 'Makefile').read_text(), re.M)
    code = ' '.join(re.findall(r'`[^`]*`|^ {4}.*$', text, re.MULTILINE))
    assert set(TARGET.findall(code)) <= set(targets)


def test_overload_settings_are_documented():
    """The page must have each key of the overload settings, its default and
    its range, as operators set them from it.
    """
    rows = {
        cells[0]: cells[1:]
        for line in section('Overload settings').splitlines()
        if line.startswith('| `')
        for cells in [[cell.strip() for cell in line.split('|')[1:-1]]]
    }
    keys = set()
    for name, part in get_type_hints(overload.OverloadSettings).items():
        hints = get_type_hints(part, include_extras=True)
        for key, default in part._field_defaults.items():
            keys.add(f'`{name}.{key}`')
            _, limits, shown, _ = rows[f'`{name}.{key}`']
            if key == 'mode':
                assert shown == f'`{default.value}`'
            elif key == 'weight_by_network':
                assert shown == '`{}`'
            else:
                assert json.loads(shown.strip('`')) == default, key
                (meta,) = hints[key].__metadata__
                assert limits == f'{meta.ge} to {meta.le}', key
    assert rows.keys() == keys


def test_commands_on_recorded_load_print_what_the_page_shows():
    """The page must show the output of the present command."""
    path = ROOT / 'docs/stories/overload.jsonl'
    output = CliRunner().invoke(ctl_main, ['load', str(path)]).stdout
    shown = section('From an overload to its cause')
    missing = [ln for ln in output.splitlines() if ln.rstrip() not in shown]
    assert not missing


def test_packages_have_a_row():
    """Guards against folders of which a newcomer can't tell the duty."""
    text = (ROOT / 'docs/packages.md').read_text(encoding='utf-8')
    rows = re.findall(r'^\| `([a-z]+)` \|', text, re.MULTILINE)
    packages = [
        module.name
        for module in pkgutil.iter_modules(ibispitch.__path__)
        if module.ispkg
    ]
    assert sorted(rows) == sorted(packages)
    files = {path.name for path in ROOT.glob('ibispitch/*.py')}
    named = set(re.findall(r'`([a-z]+\.py)`', text))
    assert named == files - {'__init__.py'}
