"""The booking assistant deployment: three regions with one availability zone each."""

from citronseam_config import (AvailabilityZone, Deployment, Limits, Region, Rollout, Rule,
                               Service, Workspace)

REGIONS_AND_ZONES = (("muc", "muc-a"), ("nue", "nue-a"), ("rgb", "rgb-a"))

deployment = Deployment(
    name="kuechenstunde",
    regions=[Region(region, link_rate="20Mbit/s") for region, _ in REGIONS_AND_ZONES],
    availability_zones=[AvailabilityZone(zone, region) for region, zone in REGIONS_AND_ZONES],
    workspaces=[Workspace("kitchens", weight=4, queue_limit=128),
                Workspace("caterers", weight=4, queue_limit=128)] +
               [Workspace(f"bakery-{number}") for number in range(1, 9)],
    services=[
        Service("seam-llm", "engine",
                limits=Limits(cold_concurrency=1, max_concurrency=16, request_timeout="60s"),
                rollout=Rollout(parallel_per_zone=1)),
        Service("booking", "plain",
                limits=Limits(cold_concurrency=4, max_concurrency=64, request_timeout="10s"),
                rules=[Rule("POST", "/bookings", idempotent=False),
                       Rule("POST", "/deposits", idempotent=False),
                       Rule("POST", "/availability", idempotent=True)]),
        Service("backoffice", "plain",
                limits=Limits(cold_concurrency=4, max_concurrency=32, request_timeout="10s")),
    ])

print(deployment.to_yaml(), end="")
