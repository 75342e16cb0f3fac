// Time to choose a backend server among 12 to 2,100 servers, compared with round robin.
#include <memory>
#include <vector>

#include <benchmark/benchmark.h>

#include "citronseam/request/balancer.h"

namespace {

using namespace citronseam;

struct server_pool {
    std::vector<std::unique_ptr<backend_server_load>> loads;
    service_pool pool;

    explicit server_pool(std::size_t count) {
        random_source random(1);
        for (std::size_t i = 0; i < count; ++i) {
            loads.push_back(std::make_unique<backend_server_load>());
            backend_server_load& load = *loads.back();
            load.is_accepting = true;
            load.limit = 16;
            // Most servers are busy, so that a chosen server is often at its limit.
            load.outstanding = static_cast<std::uint32_t>(random_below(random, 20));
            (i % 8 == 0 ? pool.own_zone : pool.other_zones).push_back(&load);
        }
    }
};

void choose_by_two_choices(benchmark::State& state) {
    server_pool servers(static_cast<std::size_t>(state.range(0)));
    random_source random(2);
    const std::vector<const backend_server_load*> excluded;
    for (auto step : state) {
        benchmark::DoNotOptimize(choose_backend_server(servers.pool, {}, excluded, random));
    }
}
BENCHMARK(choose_by_two_choices)->Arg(12)->Arg(120)->Arg(2100);

void choose_by_round_robin(benchmark::State& state) {
    server_pool servers(static_cast<std::size_t>(state.range(0)));
    std::uint64_t cursor = 0;
    for (auto step : state) {
        benchmark::DoNotOptimize(choose_round_robin(servers.pool, cursor));
    }
}
BENCHMARK(choose_by_round_robin)->Arg(12)->Arg(120)->Arg(2100);

} // namespace
