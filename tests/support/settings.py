"""Settings of a small site."""

SETTINGS = {
    "label": "n-0",
    "domain": "a",
    "serve_on": "10.0.0.1:8080",
    "internal_addr": "10.0.0.1:8081",
    "seeds": [{"label": "n-1", "domain": "a", "endpoint": "10.0.0.2:8081"}],
    "external": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
    "facts": {
        "zones": ["a"],
        "teams": [{"name": "red", "cpus": 8, "cpus_max": 16}],
        "objectives": [{"kind": "wait", "class": "x", "within_s": 4.0, "share": 0.9}],
        "workers": {"report_s": 3.0, "lease_s": 14.0, "cancel_s": 44.0},
        "state": {"rps": 100.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 12},
        "cloud": {"rps": 2.0, "list_lag_s": 6.0},
        "machine_limits": {"cores": 0.5, "mem_mb": 266.0, "sockets": 1200},
        "new_field": 1,
    },
}
