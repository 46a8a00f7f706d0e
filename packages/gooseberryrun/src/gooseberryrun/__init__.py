"""Serving layer for very many LoRA adapters: the entry VM process."""

__version__ = "0.1.0"
