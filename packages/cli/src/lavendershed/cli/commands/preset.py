"""The `preset` commands."""

from __future__ import annotations

from typing import Any

import click

from lavendershed.cli import changing
from lavendershed.configuration import changes
from lavendershed.core import ids


@click.group()
def preset() -> None:
    """Policies, of which one is active."""


@preset.command()
@click.argument("name")
@changing.change_options
def activate(name: str, **options: Any) -> None:  # noqa: ANN401
    """Makes preset NAME the active one."""
    change = changes.ActivatePreset(ids.PresetName(name))
    changing.make_change(change, **options)
