"""The kingcuplugd process: composition, HTTP applications and shutdown."""

__all__: list[str] = []
