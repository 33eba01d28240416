"""When tasks are placed, stopped and forecast, and what is given back to whom."""
