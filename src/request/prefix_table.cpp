#include "citronseam/request/prefix_table.h"

namespace citronseam {
namespace {

const prefix_holder* find_holder(const prefix_table& table, std::uint64_t prefix) {
    const auto recent = table.recent.find(prefix);
    if (recent != table.recent.end()) {
        return &recent->second;
    }
    const auto previous = table.previous.find(prefix);
    return previous == table.previous.end() ? nullptr : &previous->second;
}

} // namespace

void record_answered(prefix_table& table, std::uint64_t prefix, std::uint64_t server,
                     time_point now) {
    if (table.recent.size() >= table.generation_limit) {
        table.previous = std::move(table.recent);
        table.recent.clear();
    }
    table.recent[prefix] = {server, now};
}

void record_stored(prefix_table& table, std::uint64_t prefix, std::uint64_t server,
                   time_point now) {
    if (find_holder(table, prefix) == nullptr) {
        record_answered(table, prefix, server, now);
    }
}

void record_evicted(prefix_table& table, std::uint64_t prefix, std::uint64_t server,
                    time_point now) {
    const prefix_holder* holder = find_holder(table, prefix);
    if (holder == nullptr || holder->server != server ||
        holder->last_confirmed + table.event_lag > now) {
        return;
    }
    table.recent.erase(prefix);
    table.previous.erase(prefix);
}

void forget_server(prefix_table& table, std::uint64_t server) {
    const auto is_at_server = [server](const auto& hint) { return hint.second.server == server; };
    std::erase_if(table.recent, is_at_server);
    std::erase_if(table.previous, is_at_server);
}

std::optional<std::uint64_t> holder_of(const prefix_table& table, std::uint64_t prefix) {
    const prefix_holder* holder = find_holder(table, prefix);
    return holder == nullptr ? std::nullopt : std::optional(holder->server);
}

std::optional<std::uint64_t> advance_sequence(event_sequence& sequence, std::uint64_t number) {
    if (number <= sequence.last) {
        return std::nullopt;
    }
    const std::uint64_t missed = number - sequence.last - 1;
    sequence.last = number;
    return missed;
}

} // namespace citronseam
