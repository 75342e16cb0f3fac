// Checks that any answer of the store, and any row in it, is read or rejected, and that its rows
// are sound where they are read.
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "citronseam/process/member.h"

#include "platform/decode.h"
#include "platform/sidecar_rows.h"
#include "platform/store.h"

namespace {

using namespace citronseam;

/// Ends the process, so that libFuzzer reports the input.
void require(bool is_met, const char* property) {
    if (!is_met) {
        std::fprintf(stderr, "violated: %s\n", property);
        std::abort();
    }
}

void check_server(const versioned_row& row) {
    const auto server = platform::decode_server(row);
    if (!server) {
        return;
    }
    require(server->address.find_first_of(" /?#@\r\n\t") == std::string::npos,
            "an address is a host and a port");
    require(server->remaining_cold_time.count() >= 0 &&
                server->remaining_cold_time <= std::chrono::hours(24),
            "a time is sound");
}

void check_operator_row(const versioned_row& row) {
    const auto decoded = platform::decode_operator_row(row);
    if (!decoded || !decoded->rules) {
        return;
    }
    for (const route& rule : decoded->rules->routes) {
        require(rule.timeout.count() >= 0 && rule.latency_objective.count() >= 0,
                "a time is not negative");
    }
}

void check_value(const std::string& value) {
    check_server({"i-1", value, 1, false});
    for (const char* key : {"config", "version/m", "evacuate/z"}) {
        check_operator_row({key, value, 1, false});
    }
    platform::reduce_for_sidecars({"config", value, 1, false});
    if (const auto process = parse_member(value)) {
        const auto again = parse_member(to_json(*process));
        require(again && *again == *process, "a member is written as it was read");
    }
}

void check_page(const std::string& body) {
    http_response response;
    response.body = body;
    const auto page = platform::parse_rows(response, "servers");
    if (!page) {
        return;
    }
    require(!page->has_more.value_or(false) || !page->batch.rows.empty(),
            "a page that goes on names a row");
    for (const versioned_row& row : page->batch.rows) {
        require(row.version <= page->batch.version, "no row is newer than the store");
        require(!row.is_removed || row.value.empty(), "a removed row has no value");
        check_value(row.value);
    }
    row_cache cache;
    row_batch batch = page->batch;
    batch.is_whole = true;
    merge(cache, batch);
    for (const auto& [key, row] : cache.rows) {
        require(row.key == key, "a row is kept under its key");
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string text(reinterpret_cast<const char*>(data), size);
    check_page(text);
    check_value(text);
    return 0;
}
