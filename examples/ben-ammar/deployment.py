"""The camp allocation deployment: three regions with one availability zone each."""

from citronseam_config import (AvailabilityZone, Deployment, Limits, Region, Rollout, Rule,
                               Service, Workspace)

REGIONS_AND_ZONES = (("nord", "nord-tunis"), ("sahel", "sahel-sfax"), ("sud", "sud-gabes"))

deployment = Deployment(
    name="ben-ammar",
    regions=[Region(region, link_rate="20Mbit/s") for region, _ in REGIONS_AND_ZONES],
    availability_zones=[AvailabilityZone(zone, region) for region, zone in REGIONS_AND_ZONES],
    workspaces=[Workspace("camp-coordination", weight=4, queue_limit=128),
                Workspace("gate-lookups", weight=4, queue_limit=128)] +
               [Workspace(f"group-{number}") for number in range(1, 9)],
    services=[
        Service("citron-pool", "engine",
                limits=Limits(cold_concurrency=1, max_concurrency=16, request_timeout="120s"),
                rollout=Rollout(parallel_per_zone=1)),
        Service("berth-desk", "plain",
                limits=Limits(cold_concurrency=4, max_concurrency=64, request_timeout="10s"),
                rules=[Rule("POST", "/confirmations", idempotent=False),
                       Rule("POST", "/lookups", idempotent=True)]),
        Service("camp-ledger", "plain",
                limits=Limits(cold_concurrency=4, max_concurrency=32, request_timeout="10s")),
    ])

print(deployment.to_yaml(), end="")
