"""The node's Prometheus metrics."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest


class Metrics:
    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        registry = self.registry
        self.starts = Counter("pulleydeal_task_starts", "Run commands given", registry=registry)
        self.attempt_ends = Counter(
            "pulleydeal_task_ends",
            "Attempts that ended, by outcome",
            ["outcome"],
            registry=registry,
        )
        self.refused_submissions = Counter(
            "pulleydeal_submissions_refused",
            "Submissions not taken, by status",
            ["status"],
            registry=registry,
        )
        self.accepted = Counter(
            "pulleydeal_submissions_accepted", "Submissions accepted", registry=registry
        )
        self.epoch = Gauge("pulleydeal_view_epoch", "Epoch of the view", registry=registry)
        self.credits = Gauge(
            "pulleydeal_credit_queue_machines", "Credits queued at this node", registry=registry
        )
        self.waiting_credit_requests = Gauge(
            "pulleydeal_asks_waiting", "Tasks that wait for credit here", registry=registry
        )
        self.waiting = Gauge(
            "pulleydeal_tasks_waiting",
            "Waiting tasks led here, by reason",
            ["reason"],
            registry=registry,
        )
        self.store_requests = Gauge(
            "pulleydeal_state_requests", "Requests sent to the state service", registry=registry
        )
        self.store_refusals = Gauge(
            "pulleydeal_state_refusals",
            "Requests that the state service refused",
            registry=registry,
        )
        self.rejected_connections = Gauge(
            "pulleydeal_back_refused",
            "Connections between controllers ended for what came over them",
            registry=registry,
        )
        self.loop_lateness = Gauge(
            "pulleydeal_loop_late_seconds",
            "How late the event loop is: above 0.25 the node puts work off",
            registry=registry,
        )
        self.checkin_age = Gauge(
            "pulleydeal_checkin_age_max_seconds",
            "Age of the oldest machine's report",
            registry=registry,
        )
        self.start_wait = Histogram(
            "pulleydeal_start_wait_seconds",
            "From acceptance of a job to the binding of a task",
            buckets=(0.5, 1, 2, 5, 10, 20, 40, 80, 160, 320),
            registry=registry,
        )

        self.decisions = Counter(
            "pulleydeal_decisions",
            "Starts, stops, clears, ends, bindings, answers and views, allowed or refused",
            ["action", "verdict"],
            registry=registry,
        )
        self.orders_withdrawn = Counter(
            "pulleydeal_orders_withdrawn",
            "Direct orders and probes that were not sent, by why their right had lapsed",
            ["why"],
            registry=registry,
        )
        self.orders_finished = Counter(
            "pulleydeal_orders_finished",
            "Direct orders and probes that were tried, by what is known of their commands",
            ["outcome"],
            registry=registry,
        )
        self.tokens_raised = Counter(
            "pulleydeal_tokens_raised",
            "Raises of a machine's token within an epoch, by cause",
            ["why"],
            registry=registry,
        )
        self.order_wait = Histogram(
            "pulleydeal_order_wait_seconds",
            "From the plan of a direct order to its first byte",
            buckets=(0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4),
            registry=registry,
        )

    def text(self) -> bytes:
        return generate_latest(self.registry)
