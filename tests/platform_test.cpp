// The adapter to the users' platform: parsing of its data and building of requests.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "platform/decode.h"
#include "platform/directory.h"
#include "platform/engine.h"
#include "platform/http_headers.h"
#include "platform/sidecar_rows.h"
#include "platform/store.h"

namespace {

using namespace citronseam;

const std::string configuration = R"({"version":7,"routes":[
 {"name":"r-1","host":"a.example","prefix":"/x/","type":"streaming","timeout_ms":6000,"slo_ms":400,
  "priority":1,"service":"drafts","max_attempts":2,"no_auth":false,"sticky":true,"resumable":true,
  "gap_slo_ms":300,"allowed_regions":["north"]},
 {"name":"r-2","host":"b.example","prefix":"/y/","type":"non_idempotent","timeout_ms":800,
  "slo_ms":100,"priority":2,"weighted_services":[{"service":"old","weight":90},
  {"service":"new","weight":10}],"max_attempts":1,"no_auth":true}],
 "services":[{"name":"drafts","health_path":"/healthz","max_conns":424,"cold_s":3.0,
  "cold_per_s":36.0,"engine":{"slots":16,"kv_cache_tokens":685000,"step_ms":7.4,
  "per_seq_ms":0.0387,"read_per_s":31900.0,"layers":16,"chunks":64,"chunk_bytes":32768,
  "models":[{"name":"m","warm_s":0.3}],"usual":{"prompt":973,"answer":106}}},
  {"name":"ledger","origin":"172.20.0.3:8006","zone":"z","max_conns":48}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"allowed_regions":[]}]})";

// Guards against large configurations on the links of engines.
TEST(sidecar_rows, configuration_holds_what_a_sidecar_reads_and_no_routes) {
    const versioned_row row{"config", configuration, 9, false};
    const versioned_row reduced = platform::reduce_for_sidecars(row);
    EXPECT_EQ(reduced.version, row.version);
    const auto whole_rules = platform::decode_routing(configuration);
    const auto rules = platform::decode_routing(reduced.value);
    ASSERT_TRUE(rules.has_value()) << rules.error().message;
    EXPECT_EQ(rules->version, whole_rules->version);
    EXPECT_TRUE(rules->routes.empty());
    EXPECT_TRUE(rules->workspaces.empty());
    EXPECT_EQ(rules->services.at("drafts").engine.model, "m");
    EXPECT_EQ(rules->services.at("ledger").origin_address, "172.20.0.3:8006");
    EXPECT_EQ(rules->services.at("ledger").zone, "z");
}

TEST(sidecar_rows, other_rows_and_unreadable_configurations_stay_as_they_are) {
    const versioned_row weights{"version/m", R"({"model":"m","version":2})", 3, false};
    EXPECT_EQ(platform::reduce_for_sidecars(weights).value, weights.value);
    const versioned_row unreadable{"config", "{\"routes\":[", 4, false};
    EXPECT_EQ(platform::reduce_for_sidecars(unreadable).value, unreadable.value);
    const versioned_row removed{"config", "", 5, true};
    EXPECT_TRUE(platform::reduce_for_sidecars(removed).is_removed);
}

TEST(decode, configuration_is_decoded) {
    const auto rules = platform::decode_routing(configuration);
    ASSERT_TRUE(rules.has_value()) << rules.error().message;
    EXPECT_EQ(rules->version, 7U);
    ASSERT_EQ(rules->routes.size(), 2U);
    EXPECT_EQ(rules->routes[0].kind, retry_class::streaming);
    EXPECT_TRUE(is_retryable(rules->routes[0]));
    EXPECT_EQ(rules->routes[0].event_gap_objective, milliseconds(300));
    EXPECT_EQ(rules->routes[1].services[1].weight, 10U);
    EXPECT_FALSE(rules->routes[1].requires_workspace_key);
    EXPECT_EQ(rules->services.at("drafts").engine.load_duration, milliseconds(300));
    EXPECT_NEAR(rules->services.at("drafts").engine.prefill_tokens_per_ms, 31.9, 0.001);
    EXPECT_EQ(find_weight_origin(*rules)->origin_address, "172.20.0.3:8006");
    EXPECT_EQ(rules->workspaces[0].keys.size(), 2U);
    EXPECT_EQ(rules->limits.head, 16384U);
}

TEST(decode, unknown_route_type_is_treated_as_non_idempotent) {
    std::string text = configuration;
    text.replace(text.find("\"streaming\""), 11, "\"whatever\"");
    const auto rules = platform::decode_routing(text);
    ASSERT_TRUE(rules.has_value());
    EXPECT_EQ(rules->routes[0].kind, retry_class::non_idempotent);
    EXPECT_FALSE(is_retryable(rules->routes[0]));
}

versioned_row server_row(const std::string& value) {
    return {"i-1", value, 9, false};
}

TEST(decode, invalid_server_entries_are_rejected) {
    const std::string valid_entry =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",
        "slots":16,"state":"ready","cold_ms":0,"sequence":4})";
    ASSERT_TRUE(platform::decode_server(server_row(valid_entry)).has_value());
    for (const std::string& invalid_entry :
         {std::string("not json"), std::string("{}"), std::string("[]"),
          std::string(R"({"service":"s","address":7,"zone":"z","slots":1,"state":"ready",
                          "cold_ms":0})"),
          std::string(R"({"service":"s","address":"a:1","zone":"z","slots":1,"state":"odd",
                          "cold_ms":0})"),
          std::string(R"({"service":"s","address":"a:1","zone":"z","slots":"x","state":"ready",
                          "cold_ms":0})")}) {
        EXPECT_FALSE(platform::decode_server(server_row(invalid_entry)).has_value())
            << invalid_entry;
    }
}

std::uint64_t weights_of(const std::string& layers) {
    const std::string text =
        R"({"service":"s","address":"a:1","zone":"z","slots":1,"state":"ready","cold_ms":0,
            "models":[{"name":"m","version":3,"adapters":[]}],"layers":)" +
        layers + "}";
    return platform::decode_server(server_row(text)).value().weights_version;
}

TEST(decode, only_one_version_over_all_layers_is_a_whole_model) {
    EXPECT_EQ(weights_of(R"([{"from":0,"target":16,"version":3}])"), 3U);
    EXPECT_EQ(weights_of(R"([{"from":0,"target":8,"version":3},
                             {"from":8,"target":16,"version":3}])"),
              3U);
    EXPECT_EQ(weights_of(R"([{"from":0,"target":8,"version":3},
                             {"from":8,"target":16,"version":2}])"),
              0U);
    EXPECT_EQ(weights_of(R"([{"from":4,"target":16,"version":3}])"), 0U);
    EXPECT_EQ(weights_of("[]"), 0U);
}

TEST(decode, operator_rows_are_decoded_by_key) {
    const auto zone = platform::decode_operator_row({"evacuate/z1", "{}", 4, false});
    EXPECT_EQ(zone->evacuated_zone, "z1");
    EXPECT_FALSE(zone->is_removed);
    EXPECT_TRUE(platform::decode_operator_row({"evacuate/z1", "", 5, true})->is_removed);
    const auto weights =
        platform::decode_operator_row({"version/m", R"({"model":"m","version":3})", 6, false});
    EXPECT_EQ(weights->weights->version, 3U);
    EXPECT_FALSE(platform::decode_operator_row({"config", "{", 7, false}).has_value());
}

TEST(exchange, hop_by_hop_and_reserved_headers_are_not_forwarded) {
    const std::vector<http_header> caller{{"Host", "a.example"},
                                          {"Connection", "keep-alive"},
                                          {"Authorization", "Token secret"},
                                          {"X-Citronseam-Tenant", "forged"},
                                          {"X-Citronseam-Expect-Instance", "forged"},
                                          {"X-Citronseam-Request-Priority", "0"},
                                          {"X-Citronseam-Deadline-Ms", "6000"},
                                          {"X-Citronseam-Attempt-Id", "9c41"},
                                          {"X-Other", "kept"}};
    platform::dispatch_parameters parameters;
    parameters.timeout = milliseconds(5000);
    parameters.server = "i-1";
    parameters.workspace = "t";
    const auto headers = platform::make_dispatch_headers(caller, parameters);
    EXPECT_EQ(find_header(headers, "X-Citronseam-Tenant"), "t");
    EXPECT_EQ(find_header(headers, "X-Citronseam-Expect-Instance"), "i-1");
    EXPECT_EQ(find_header(headers, "X-Citronseam-Deadline-Ms"), "5000");
    EXPECT_EQ(find_header(headers, "X-Citronseam-Attempt-Id"), "9c41");
    EXPECT_EQ(find_header(headers, "X-Other"), "kept");
    EXPECT_EQ(find_header(headers, "Authorization"), "");
    EXPECT_EQ(find_header(headers, "Connection"), "");
    EXPECT_EQ(find_header(headers, "X-Citronseam-Request-Priority"), "");
}

// Guards against losses that no part of a prompt is held responsible for, or a request's own part.
TEST(exchange, shared_parts_of_a_prompt_are_all_but_the_last_one) {
    const auto parse = [](const std::string& value) {
        return platform::parse_caller_headers({{"X-Citronseam-Prompt-Prefix", value}});
    };
    EXPECT_EQ(parse("5c1e07a2:800,91BD3f06:410, e4402b7d:250").shared_prompt_parts,
              (std::vector<std::string>{"5c1e07a2", "91bd3f06"}));
    EXPECT_FALSE(parse("5c1e07a2:800,e4402b7d:250").has_invalid_prompt_parts);
    EXPECT_TRUE(parse("e4402b7d:250").shared_prompt_parts.empty());
    EXPECT_FALSE(parse("e4402b7d:250").has_invalid_prompt_parts);
    EXPECT_FALSE(platform::parse_caller_headers({}).has_invalid_prompt_parts);
    EXPECT_EQ(platform::parse_caller_headers({{"X-Citronseam-Prompt-Prefix", "5c1e07a2:800"},
                                              {"X-Other", "1"},
                                              {"x-citronseam-prompt-prefix", "e4402b7d:250"}})
                  .shared_prompt_parts,
              std::vector<std::string>{"5c1e07a2"})
        << "one list in two field lines";
    for (const char* malformed : {"a,b", "a:1,", "x-1:2,b:1", ":4,b:1", "a:1,b:many"}) {
        EXPECT_TRUE(parse(malformed).shared_prompt_parts.empty()) << malformed;
        EXPECT_TRUE(parse(malformed).has_invalid_prompt_parts) << malformed;
    }
}

TEST(exchange, responses_that_state_no_execution_are_recognized) {
    EXPECT_TRUE(platform::parse_response_headers(421, {}).is_not_run);
    EXPECT_TRUE(
        platform::parse_response_headers(503, {{"X-Citronseam-Not-Executed", "1"}}).is_not_run);
    EXPECT_FALSE(platform::parse_response_headers(503, {}).is_not_run) << "it may have run";
}

TEST(exchange, refusal_carries_retry_after) {
    const auto response = platform::make_refusal(503, "full \"now\"", milliseconds(250));
    EXPECT_EQ(find_header(response.headers, "Retry-After"), "0.250");
    EXPECT_EQ(nlohmann::json::parse(response.body).at("error_message"), "full \"now\"");
    EXPECT_EQ(find_header(platform::make_refusal(404, "", {}).headers, "Retry-After"), "");
}

http_response response_with(int status, bool is_complete = true) {
    http_response response;
    response.outcome.status = status;
    response.outcome.is_complete = is_complete;
    return response;
}

TEST(store, status_codes_map_to_outcomes) {
    using platform::store_outcome;
    EXPECT_EQ(platform::parse_store_outcome(response_with(200)), store_outcome::done);
    EXPECT_EQ(platform::parse_store_outcome(response_with(412)), store_outcome::condition_failed);
    EXPECT_EQ(platform::parse_store_outcome(response_with(410)), store_outcome::history_lost);
    EXPECT_EQ(platform::parse_store_outcome(response_with(429)), store_outcome::refused);
    EXPECT_EQ(platform::parse_store_outcome(response_with(503)), store_outcome::refused);
    EXPECT_EQ(platform::parse_store_outcome(response_with(0, false)), store_outcome::unknown);
    EXPECT_EQ(platform::parse_store_outcome(response_with(500)), store_outcome::unknown);
}

result<platform::row_page> parse_rows_body(const std::string& body, const std::string& era = "") {
    http_response response;
    response.body = body;
    if (!era.empty()) {
        response.headers = {{"Store-Era", era}};
    }
    return platform::parse_rows(response, "t");
}

TEST(store, row_values_are_base64) {
    const auto page = parse_rows_body(
        R"({"records":[{"table":"t","part":"","key":"a","value":"bm9kZS0x","ver":4},
            {"table":"t","part":"","key":"b","tombstone":true,"ver":5}],"has_more":true,"ver":9})");
    ASSERT_TRUE(page.has_value());
    EXPECT_EQ(page->has_more, true);
    EXPECT_EQ(page->batch.version, 9U);
    EXPECT_EQ(page->batch.rows[0].value, "node-1");
    EXPECT_TRUE(page->batch.rows[1].is_removed);
    EXPECT_FALSE(parse_rows_body("{}").has_value());
    const auto write = platform::make_write_request("http://s", "t", "k", "node-1");
    EXPECT_EQ(nlohmann::json::parse(write.body).at("set_keys")[0].at("value"), "bm9kZS0x");
}

// Guards against an order that waits for a connect, or is sent once more, after its chunks were
// checked.
TEST(engine, order_uses_a_kept_connection_and_is_sent_once) {
    const http_request order = platform::make_load_order_request("10.0.0.1:80", {});
    EXPECT_TRUE(order.may_reuse_connection);
    EXPECT_FALSE(order.may_be_resent);
}

TEST(engine, order_without_a_response_has_an_unknown_outcome) {
    using platform::load_order_outcome;
    EXPECT_EQ(platform::parse_order_outcome(response_with(202)), load_order_outcome::accepted);
    EXPECT_EQ(platform::parse_order_outcome(response_with(200)),
              load_order_outcome::already_in_service);
    EXPECT_EQ(platform::parse_order_outcome(response_with(409)),
              load_order_outcome::revision_mismatch);
    EXPECT_EQ(platform::parse_order_outcome(response_with(412)), load_order_outcome::superseded);
    EXPECT_EQ(platform::parse_order_outcome(response_with(0, false)), load_order_outcome::unknown);
}

// Guards against an order for weights of which nothing is staged: a list of no pieces is complete
// at once.
TEST(engine, list_that_cannot_be_one_of_pieces_is_unreadable) {
    const std::string digest(64, 'a');
    const auto list = [](const std::string& bytes, const std::string& digests) {
        return platform::parse_chunk_list(R"({"model":"m","version":2,"chunk_bytes":)" + bytes +
                                          R"(,"digests":[)" + digests + "]}");
    };
    const std::string quoted = '"' + digest + '"';
    EXPECT_TRUE(list("4096", quoted + "," + quoted).has_value());
    EXPECT_FALSE(list("4096", "").has_value());
    EXPECT_FALSE(list("0", quoted).has_value());
    EXPECT_FALSE(list("4096", quoted + R"(,"aa")").has_value());
    EXPECT_FALSE(list("4096", '"' + std::string(64, 'x') + '"').has_value());
}

// Guards against a list that was cut off or came empty and counts as one of no pieces.
TEST(engine, cut_list_of_pieces_is_unreadable) {
    const std::string whole = R"({"model":"m","version":2,"chunk_bytes":4096,"digests":[")" +
                              std::string(64, 'a') + "\"]}";
    ASSERT_TRUE(platform::parse_chunk_list(whole).has_value());
    for (std::size_t size = 0; size < whole.size(); ++size) {
        EXPECT_FALSE(platform::parse_chunk_list(whole.substr(0, size)).has_value()) << size;
    }
}

// Guards against a state that was read from an empty answer or from one that was cut off.
TEST(engine, cut_state_is_unreadable) {
    const std::string whole =
        R"({"stage":"serving","models":[{"name":"m","version":2,"adapters":[]}],"busy":false,)"
        R"("sequence":3,"num_waiting":0,"num_running":1})";
    ASSERT_TRUE(platform::parse_engine_state(whole).has_value());
    for (std::size_t size = 0; size < whole.size(); ++size) {
        EXPECT_FALSE(platform::parse_engine_state(whole.substr(0, size)).has_value()) << size;
    }
}

TEST(directory, address_query_is_parsed_and_answered) {
    server_request request;
    request.method = "GET";
    request.path = "/resolve";
    request.target = "/resolve?name=a.example&region=north&zone=z1";
    const auto query = platform::parse_address_query(request);
    ASSERT_TRUE(query.has_value());
    EXPECT_EQ(query->zone, "z1");
    EXPECT_EQ(query->region, "north");
    request.path = "/other";
    EXPECT_FALSE(platform::parse_address_query(request).has_value());
    EXPECT_EQ(platform::format_addresses({"10.1.0.40:8005"}, std::chrono::seconds(2)),
              R"({"addresses":["10.1.0.40:8005"],"ttl_s":2})");
}

TEST(response_headers, server_limit_is_a_decimal_number) {
    const auto parse = [](const std::string& text) {
        return platform::parse_response_headers(200, {{"Server-Limit", text}});
    };
    EXPECT_EQ(parse("2.5").request_limit, 2.5);
    EXPECT_EQ(parse("0").request_limit, 0.0);
    EXPECT_FALSE(platform::parse_response_headers(200, {}).request_limit);
    EXPECT_FALSE(platform::parse_response_headers(200, {}).has_invalid_limit);
    for (const char* invalid : {"many", "-1", "2.5/s", "nan", "inf", "1e9"}) {
        EXPECT_FALSE(parse(invalid).request_limit) << invalid;
        EXPECT_TRUE(parse(invalid).has_invalid_limit) << invalid;
    }
}

// Guards against a long deadline that is taken for one in the past.
TEST(caller_headers, deadline_beyond_all_times_counts_as_not_given) {
    const auto deadline = [](const char* text) {
        return platform::parse_caller_headers({{"X-Citronseam-Deadline-Ms", text}}).timeout;
    };
    EXPECT_EQ(deadline("6000"), milliseconds(6000));
    EXPECT_EQ(deadline("0"), milliseconds(0));
    EXPECT_EQ(deadline("9223372036854775807"), milliseconds::max());
    EXPECT_FALSE(deadline("9223372036854775808"));
    EXPECT_FALSE(deadline("18446744073709551615"));
    EXPECT_FALSE(deadline("18446744073709551616"));
    EXPECT_FALSE(deadline(""));
    EXPECT_FALSE(deadline("-1"));
}

TEST(response_headers, leaving_server_says_so_whatever_the_status) {
    for (const int status : {200, 500, 503}) {
        EXPECT_TRUE(platform::parse_response_headers(status, {{"Server-Leaving", "1"}}).is_leaving);
        EXPECT_FALSE(
            platform::parse_response_headers(status, {{"Server-Leaving", "0"}}).is_leaving);
        EXPECT_FALSE(platform::parse_response_headers(status, {}).is_leaving);
    }
}

TEST(response_headers, retry_after_of_a_refusal_is_a_decimal_number) {
    const auto parse = [](int status, const std::string& text) {
        return platform::parse_response_headers(status, {{"Retry-After", text}});
    };
    EXPECT_EQ(parse(503, "2").retry_after_s, 2.0);
    EXPECT_EQ(parse(503, "0.25").retry_after_s, 0.25);
    EXPECT_FALSE(parse(200, "2").retry_after_s) << "only a refusal asks for a pause";
    EXPECT_FALSE(platform::parse_response_headers(503, {}).has_invalid_retry_after);
    for (const char* invalid : {"Fri, 04 Dec 2026 11:00:00 GMT", "-1", "1e3", "2s", "nan", "inf"}) {
        EXPECT_FALSE(parse(503, invalid).retry_after_s) << invalid;
        EXPECT_TRUE(parse(503, invalid).has_invalid_retry_after) << invalid;
    }
}

TEST(store_rows, versions_of_a_later_era_are_higher) {
    const std::string body =
        R"({"records":[{"table":"t","part":"","key":"a","value":"","ver":4}],"ver":9})";
    const auto before = parse_rows_body(body, "1");
    const auto after = parse_rows_body(
        R"({"records":[{"table":"t","part":"","key":"a","value":"","ver":2}],"ver":3})", "2");
    ASSERT_TRUE(before && after);
    EXPECT_GT(after->batch.version, before->batch.version);
    EXPECT_GT(after->batch.rows[0].version, before->batch.version);
    EXPECT_EQ(counter_of(after->batch.version), 3U);
    EXPECT_EQ(era_of(after->batch.version), 2U);
    EXPECT_NE(platform::make_watch_request("http://s", "t", after->batch.version, milliseconds(1))
                  .url.find("after=3&"),
              std::string::npos);
    EXPECT_EQ(era_of(parse_rows_body(body)->batch.version), 0U);
    EXPECT_FALSE(parse_rows_body(body, "two"));
    EXPECT_FALSE(parse_rows_body(body, "65536"));
    EXPECT_FALSE(parse_rows_body(R"({"records":[],"ver":281474976710656})", "1"));
}

} // namespace
