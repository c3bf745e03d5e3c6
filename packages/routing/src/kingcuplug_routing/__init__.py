"""Replica choice, limits, hedging, retry budgets and the crash guard."""

__all__: list[str] = []
