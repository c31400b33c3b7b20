"""Starts what is switched on, and imports nothing else."""

from pulleydeal.features.context import Feature, FeatureContext, Service
from pulleydeal.features.settings import Features
from pulleydeal.workers.partition_policy import PartitionPolicy


def partition_policy(
    features: Features, context: FeatureContext
) -> tuple[PartitionPolicy, list[Feature]]:
    """Who may renew, prove and tell; and the feature that says so, if one is on."""
    if features.zones is None:
        return PartitionPolicy(), []
    from pulleydeal.zones.service import Zones

    zones = Zones(context)
    return zones, [zones]


def switched_on(features: Features, service: Service, found: list[Feature]) -> list[Feature]:
    """The features that are on, those already `found` among them, in the order of their start."""
    if features.journal is not None:
        from pulleydeal.journal.feature import JournalFeature

        found.append(JournalFeature(service, service.journal))
    if features.operators is not None:
        from pulleydeal.operators.service import Operators

        operators = Operators(features, service, lambda: [x for f in found for x in f.routes()])
        found.append(operators)
    if features.rollouts is not None:
        from pulleydeal.rollouts.service import Rollouts

        found.append(Rollouts(service))
    if features.recurring is not None:
        from pulleydeal.recurring.service import Recurring

        found.append(Recurring(service))
    return found
