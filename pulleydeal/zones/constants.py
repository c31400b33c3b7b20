"""Constants of zone loss handling. Suffix _S: seconds."""

FORMAT = 2  # version of the status messages and records; durable. 1 renewed for 90 s at most
# Isolation before a node renews leases for others; workers try other nodes after 5 s of silence
PROXY_RENEWAL_AFTER_S = 3.5
CONTACT_TIMEOUT_S = 2.5  # a peer's last acknowledgement must be newer; below PROXY_RENEWAL_AFTER_S
STATUS_INTERVAL_S = 0.5  # between status broadcasts, as for heartbeats
CANCEL_CONFIRM_TIMEOUT_S = 0.5  # wait for the other nodes' copies, which takes milliseconds
CANCEL_CONFIRM_POLL_S = 0.01  # poll interval of that wait

# --- a zone that is out of sight ------------------------------------------------------------
UNCONFIRMED_CANCEL_RETURN_S = 30.0  # users retry a cancel for 60 s; leaves half for the cloud
EVACUATE_AFTER_BOOTS = 4.0  # in boot times; by then the work would have run elsewhere long ago
EVACUATION_BATCH_SHARE = 1 / 12  # of the zone's machines; limits what one batch interrupts
HOLDDOWN_S = 5.0  # no rentals in a zone for so long after its return; doubles with each flap
HOLDDOWN_MAX_S = 160.0  # so that no zone is excluded for good
FLAP_WINDOW_S = 900.0  # the flap count restarts after so long without a loss

# --- a node that receives nothing from its machines ------------------------------------------
DEAF_SILENT_SHARE = 0.8  # share of the node's machines of a zone that are silent to it alone
DEAF_MIN_MACHINES = 4  # fewer machines are no evidence about the node
DEAF_ROUNDS = 2  # consecutive rounds, STATUS_INTERVAL_S apart, before the zone is handed over
RECOVERY_PROBES = 3  # machines of the zone that are probed for recovery
RECOVERY_S = 6.0  # probes must succeed for so long before taking back; doubles with each handover
RECOVERY_MAX_S = 180.0  # upper bound of that doubling
