"""Names of the traits of completions in crash reports, and of runners' incarnations."""

from __future__ import annotations

import xxhash

from gooseberryrun._internal.state.serving import Trait, TraitKind

from ._requests import CompletionRequest

_ADAPTER_PREFIX = "adapter:"


def request_traits(request: CompletionRequest) -> tuple[Trait, ...]:
    """Return the traits of a completion that may crash runners."""
    return (
        Trait(TraitKind.CONTENT, request.fingerprint),
        Trait(TraitKind.ADAPTER, request.model),
    )


def trait_name(trait: Trait) -> str:
    """Return the name of a trait: the fingerprint of a content, or an adapter."""
    is_adapter = trait.kind is TraitKind.ADAPTER
    return f"{_ADAPTER_PREFIX}{trait.key}" if is_adapter else trait.key


def trait_of(name: str) -> Trait:
    """Return the trait of a name."""
    if name.startswith(_ADAPTER_PREFIX):
        return Trait(TraitKind.ADAPTER, name.removeprefix(_ADAPTER_PREFIX))
    return Trait(TraitKind.CONTENT, name)


def incarnation_number(incarnation: str) -> int:
    """Return a number that tells an incarnation from the runner's other ones."""
    return xxhash.xxh3_64_intdigest(incarnation.encode())
