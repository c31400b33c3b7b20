"""Builds the enabled features and imports no others."""

from pulleydeal.features.context import Feature, FeatureContext, NodeContext
from pulleydeal.features.settings import Features
from pulleydeal.workers.partition_policy import PartitionPolicy


def create_partition_policy(
    features: Features, context: FeatureContext
) -> tuple[PartitionPolicy, list[Feature]]:
    """The policy for renewing leases and for reporting cancellations, and the feature that provides
    it, if enabled."""
    if features.zones is None:
        return PartitionPolicy(), []
    from pulleydeal.zones.service import Zones

    zones = Zones(context)
    return zones, [zones]


def create_features(
    features: Features, service: NodeContext, created: list[Feature]
) -> list[Feature]:
    """All enabled features in start order, beginning with those already in `created`."""
    if features.journal is not None:
        from pulleydeal.journal.feature import JournalFeature

        created.append(JournalFeature(service, service.journal))
    if features.operators is not None:
        from pulleydeal.operators.service import Operators

        operators = Operators(features, service, lambda: [x for f in created for x in f.routes()])
        created.append(operators)
    if features.rollouts is not None:
        from pulleydeal.rollouts.service import Rollouts

        created.append(Rollouts(service))
    if features.recurring is not None:
        from pulleydeal.recurring.service import Recurring

        created.append(Recurring(service))
    return created
