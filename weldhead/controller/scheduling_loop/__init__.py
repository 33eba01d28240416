"""The leader's scheduling loop: placement, preemption and completion forecasts."""
