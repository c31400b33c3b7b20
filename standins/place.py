"""The setting of scenarios: zones, a machine type, teams, and delays."""

ZONES = ["east", "west", "north"]
TYPE = {
    "name": "t4",
    "vcpus": 16.0,
    "accelerators": 4.0,
    "ram_gb": 64.0,
    "cache_gb": 100.0,
    "fetch_gb_per_s": 0.5,
    "hourly": 4.0,
    "market_price": 1.0,
    "ready_s": 20.0,
    "yards": ZONES,
}
FAILED_S = 30.0  # PROTOCOL: a dead machine is listed as running for about this long
CANCEL_S = 34.0
RESTART_S = 5.0
TEAMS = {"core": 0.0, "small": 4.0}  # team -> accelerator quota; 0: unlimited
