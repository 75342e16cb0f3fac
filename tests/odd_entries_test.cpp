// Entries and records that another writer left: each names nothing to use, and the others hold.
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "citronseam/process/member.h"
#include "platform/decode.h"
#include "platform/engine.h"
#include "platform/sidecar_rows.h"
#include "platform/store.h"

namespace {

using namespace citronseam;

constexpr std::size_t deep_levels = 200000;

std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

/// Values in the place of a whole number that is not negative.
std::vector<std::string> odd_numbers() {
    return {
        "-1",   "1e300",  "1e999", "1.5", "-9223372036854775808", "18446744073709551616", "true",
        "null", R"("8")", "[]",    "{}",  nested(deep_levels)};
}

/// Shortens an input for the message of a failure.
std::string head_of(const std::string& text) {
    constexpr std::size_t max_shown = 200;
    return text.substr(0, max_shown);
}

result<platform::row_page> parse_page(const std::string& body, std::string_view table = "servers") {
    http_response response;
    response.outcome.is_complete = true;
    response.outcome.status = 200;
    response.body = body;
    return platform::parse_rows(response, table);
}

/// @return a page with a sound record `a` before and `z` after others
std::string page_around(const std::string& records) {
    return R"({"records":[{"table":"servers","part":"","key":"a","value":"YQ==","ver":4},)" +
           records + R"(,{"table":"servers","part":"","key":"z","value":"eg==","ver":8}],"ver":9})";
}

std::string record_with(const std::string& field, const std::string& value) {
    std::string record = R"({"table":"servers","part":"")";
    for (const auto& [name, usual] : std::vector<std::pair<std::string, std::string>>{
             {"key", R"("k")"}, {"value", R"("aw==")"}, {"ver", "5"}}) {
        if (name != field) {
            record.append(",\"").append(name).append("\":").append(usual);
        }
    }
    return record + ",\"" + field + "\":" + value + "}";
}

const versioned_row* find_row(const row_batch& batch, const std::string& key) {
    for (const auto& row : batch.rows) {
        if (row.key == key) {
            return &row;
        }
    }
    return nullptr;
}

bool has_both_sound_rows(const row_batch& batch) {
    const auto* first = find_row(batch, "a");
    const auto* last = find_row(batch, "z");
    return first != nullptr && last != nullptr && first->value == "a" && last->value == "z" &&
           first->version == 4 && last->version == 8;
}

/// A copy of the table that holds `a`, `k` and `z`.
row_cache known_rows() {
    row_cache cache;
    merge(cache, {{{"a", "a", 1, false}, {"k", "k", 2, false}, {"z", "z", 3, false}}, 3, true, 0});
    return cache;
}

// Guards against a table that can never be read again for one record that is odd.
TEST(odd_records, the_other_records_of_a_page_hold) {
    std::vector<std::string> records{"7",  "null", "true",   R"("text")",
                                     "[]", "{}",   "[[[]]]", nested(deep_levels)};
    for (const std::string& value : odd_numbers()) {
        if (value != "1e999") { // No JSON parser without a limit on numbers reads that page.
            records.push_back(record_with("ver", value));
        }
    }
    for (const std::string& value : {std::string("7"), std::string("null"), std::string("[]"),
                                     std::string("{}"), nested(deep_levels)}) {
        for (const char* field : {"key", "value", "tombstone", "table", "part"}) {
            records.push_back(record_with(field, value));
        }
    }
    for (const char* value :
         {"\"*\"", "\"a\"", "\"====\"", "\"aw=\"", "\"\"", "\"\\u0000\"", "\"\xc3\xa4\xc3\xa4\""}) {
        records.push_back(record_with("value", value));
    }
    records.push_back(record_with("ver", "281474976710656"));
    for (const std::string& record : records) {
        const auto page = parse_page(page_around(record));
        ASSERT_TRUE(page.has_value()) << head_of(record) << ": " << page.error().message;
        EXPECT_TRUE(has_both_sound_rows(page->batch)) << head_of(record);
    }
}

// Guards against a process that ends since it copies a deeply nested value.
TEST(odd_records, deeply_nested_version_is_none) {
    const auto page = parse_page(page_around(record_with("ver", nested(deep_levels))));
    ASSERT_TRUE(page.has_value());
    EXPECT_TRUE(has_both_sound_rows(page->batch));
}

// Guards against a row that counts as removed, or as another one, since its record is odd.
TEST(odd_records, row_of_an_odd_record_is_listed_and_never_removed_by_it) {
    const std::vector<std::pair<std::string, std::string>> odd{
        {"value", "7"}, {"value", "\"*\""}, {"tombstone", "\"yes\""}, {"tombstone", "7"},
        {"ver", "-1"},  {"ver", "1e300"},   {"ver", "\"5\""},         {"ver", "281474976710656"}};
    for (const auto& [field, value] : odd) {
        const auto page = parse_page(page_around(record_with(field, value)));
        ASSERT_TRUE(page.has_value()) << field << value;
        row_batch batch = page->batch;
        batch.is_whole = true;
        row_cache cache = known_rows();
        merge(cache, batch);
        EXPECT_FALSE(cache.rows.at("k").is_removed) << field << value;
        EXPECT_EQ(cache.rows.at("k").key, "k") << field << value;
        EXPECT_EQ(cache.rows.at("k").value, field == "ver" ? "k" : "") << field << value;
    }
}

// Guards against a row that ignores all its later writes since one version was too high.
TEST(odd_records, version_above_that_of_the_store_is_no_version) {
    const auto page = parse_page(page_around(record_with("ver", "281474976710655")));
    ASSERT_TRUE(page.has_value());
    row_batch batch = page->batch;
    batch.is_whole = true;
    row_cache cache = known_rows();
    merge(cache, batch);
    const auto next = parse_page(page_around(record_with("ver", "6")));
    ASSERT_TRUE(next.has_value());
    merge(cache, next->batch);
    EXPECT_EQ(cache.rows.at("k").version, 6U);
}

// Guards against a row without a key that a record without a usable version leaves in the copy.
TEST(odd_records, unknown_row_without_version_is_not_kept) {
    const auto page = parse_page(page_around(record_with("ver", "null")));
    ASSERT_TRUE(page.has_value());
    row_cache cache;
    row_batch batch = page->batch;
    batch.is_whole = true;
    EXPECT_EQ(merge(cache, batch).size(), 2U);
    EXPECT_EQ(cache.rows.size(), 2U);
}

// Guards against an answer of something else that counts as an empty table.
TEST(odd_records, page_that_is_not_the_stores_is_not_read) {
    std::vector<std::string> pages{"",
                                   "7",
                                   "[]",
                                   "{}",
                                   R"({"records":{},"ver":9})",
                                   R"({"records":null,"ver":9})",
                                   R"({"records":7,"ver":9})",
                                   R"({"records":"","ver":9})",
                                   R"({"ver":9})",
                                   R"({"records":[]})",
                                   R"({"records":[7],"ver":9})",
                                   R"({"records":[{}],"ver":9})",
                                   R"({"records":[{"key":7}],"ver":9})",
                                   R"({"records":[],"ver":9,"has_more":"no"})",
                                   page_around(R"({"table":"op","part":"","key":"k","ver":5})"),
                                   nested(deep_levels)};
    for (const std::string& value : odd_numbers()) {
        pages.push_back(R"({"records":[],"ver":)" + value + "}");
    }
    for (const std::string& page : pages) {
        EXPECT_FALSE(parse_page(page).has_value()) << head_of(page);
    }
    const std::string whole = page_around(record_with("ver", "5"));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        EXPECT_FALSE(parse_page(whole.substr(0, size)).has_value()) << size;
    }
}

// Guards against a row of another part that is taken for the operator's, since a feed has them all.
TEST(odd_records, row_of_another_part_is_not_the_row_of_that_key) {
    const auto page = parse_page(
        R"({"records":[{"table":"op","part":"x","key":"config","value":"e30=","ver":4},)"
        R"({"table":"op","part":"","key":"evacuate/z","value":"e30=","ver":5}],"ver":9})",
        "op");
    ASSERT_TRUE(page.has_value());
    ASSERT_EQ(page->batch.rows.size(), 1U);
    EXPECT_EQ(page->batch.rows[0].key, "evacuate/z");
}

// Guards against a read that never ends since the next page begins at another key than is asked
// for.
TEST(odd_records, next_page_is_asked_for_by_the_bytes_of_the_key) {
    const auto request =
        platform::make_read_request("http://s", "servers", "a&b=#%/\n\xc3\xa4 ", "");
    EXPECT_NE(request.url.find("&from=a%26b%3D%23%25%2F%0A%C3%A4%20"), std::string::npos)
        << request.url;
    EXPECT_NE(platform::make_read_request("http://s", "servers", "i-7f.3_a~ ", "")
                  .url.find("&from=i-7f.3_a~%20"),
              std::string::npos);
}

std::string entry_with(const std::string& field, const std::string& value) {
    std::string entry = "{";
    for (const auto& [name, usual] :
         std::vector<std::pair<std::string, std::string>>{{"service", R"("s")"},
                                                          {"address", R"("10.0.0.1:80")"},
                                                          {"zone", R"("z")"},
                                                          {"version", R"("v1")"},
                                                          {"slots", "16"},
                                                          {"state", R"("ready")"},
                                                          {"cold_ms", "0"},
                                                          {"sequence", "4"},
                                                          {"born", "1700000000000"},
                                                          {"models", "[]"}}) {
        if (name != field) {
            entry.append("\"").append(name).append("\":").append(usual).append(",");
        }
    }
    return entry + "\"" + field + "\":" + value + "}";
}

result<listed_server> decode_entry(const std::string& value, const std::string& id = "i-1") {
    return platform::decode_server({id, value, 7, false});
}

// Guards against an engine that is called at an address that is none.
TEST(odd_entries, address_that_is_none_names_no_engine) {
    for (const char* address : {"",
                                ":80",
                                "10.0.0.1",
                                "10.0.0.1:",
                                "10.0.0.1:0",
                                "10.0.0.1:-1",
                                "10.0.0.1:+80",
                                "10.0.0.1:65536",
                                "10.0.0.1:99999",
                                "10.0.0.1:080",
                                "10.0.0.1:000000080",
                                "10.0.0.1:18446744073709551696",
                                "10.0.0.1:80 ",
                                " 10.0.0.1:80",
                                "10.0.0.1:80/path",
                                "10.0.0.1/path:80",
                                "10.0.0.1:80?q",
                                "10.0.0.1?q:80",
                                "10.0.0.1#f:80",
                                "user@10.0.0.1:80",
                                "user:word@10.0.0.1:80",
                                "http://10.0.0.1:80",
                                "10.0.0.1:80\\n",
                                "10.0.0.1\\r\\nHost: x:80",
                                "10.0.0.1\\u0000:80",
                                "10.0.0.1:80\\u0000",
                                "10.0.0.1\\u00e4:80",
                                "a b:80",
                                "{a,b}:80",
                                "[::1:80",
                                "::1:80",
                                "[]:80",
                                "[::1%25x]:80",
                                "10.0.0.1,10.0.0.2:80"}) {
        const auto entry = entry_with("address", '"' + std::string(address) + '"');
        EXPECT_FALSE(decode_entry(entry).has_value()) << address;
    }
    EXPECT_FALSE(decode_entry(entry_with("address", '"' + std::string(1U << 20U, 'a') + ":80\"")));
    for (const char* address :
         {"10.0.0.1:1", "10.0.0.1:65535", "engine-1.example:80", "a:1", "[::1]:80"}) {
        const auto entry = entry_with("address", '"' + std::string(address) + '"');
        EXPECT_TRUE(decode_entry(entry).has_value()) << address;
    }
}

// Guards against a number of an entry that is wrapped around, cut or undefined.
TEST(odd_entries, number_that_does_not_fit_names_no_engine) {
    for (const char* field : {"slots", "cold_ms", "born"}) {
        for (const std::string& value : odd_numbers()) {
            if (std::string(field) == "cold_ms" && value == "1.5") {
                continue; // part of a millisecond
            }
            EXPECT_FALSE(decode_entry(entry_with(field, value)).has_value())
                << field << head_of(value);
        }
    }
    for (const char* slots : {"4294967297", "4294967295", "9223372036854775807"}) {
        EXPECT_FALSE(decode_entry(entry_with("slots", slots)).has_value()) << slots;
    }
    for (const char* cold_ms : {"9223372036854775807", "18446744073709551615", "1e15"}) {
        EXPECT_FALSE(decode_entry(entry_with("cold_ms", cold_ms)).has_value()) << cold_ms;
    }
    for (const std::string& version : odd_numbers()) {
        const std::string span = R"([{"from":0,"target":4,"version":)" + version + "}]";
        EXPECT_FALSE(decode_entry(entry_with("layers", span)).has_value()) << head_of(version);
        const std::string model = R"([{"name":"m","version":)" + version + "}]";
        EXPECT_FALSE(decode_entry(entry_with("models", model)).has_value()) << head_of(version);
    }
    for (const char* models : {"7", "[7]", "{\"m\":{}}", "\"m\"", "[[]]"}) {
        EXPECT_FALSE(decode_entry(entry_with("models", models)).has_value()) << models;
    }
    EXPECT_TRUE(decode_entry(entry_with("slots", "16")).has_value());
    EXPECT_EQ(decode_entry(entry_with("cold_ms", "1.5"))->remaining_cold_time.count(), 1);
}

// Guards against an engine's id that ends a header field of the requests that name it.
TEST(odd_entries, id_that_fits_no_header_names_no_engine) {
    for (const std::string& id :
         {std::string(), std::string("i\r\nX: y"), std::string("i\n"), std::string("i 1"),
          std::string("i\0", 2), std::string("\xc3\xa4"), std::string("i\x7f")}) {
        EXPECT_FALSE(decode_entry(entry_with("slots", "16"), id).has_value()) << id;
    }
    EXPECT_TRUE(decode_entry(entry_with("slots", "16"), "i-7f3a91c2").has_value());
}

TEST(odd_entries, any_field_may_be_odd) {
    for (const std::string& value :
         {std::string("null"), std::string("7"), std::string("[7]"), std::string("{}"),
          std::string("\"\\ud800\""), std::string("\"\xff\xfe\""), nested(deep_levels)}) {
        for (const char* field : {"service", "address", "zone", "state"}) {
            EXPECT_FALSE(decode_entry(entry_with(field, value)).has_value())
                << field << head_of(value);
        }
    }
    for (const std::string& text :
         {std::string(), std::string("\0", 1), std::string("\xff"), std::string("{"),
          nested(deep_levels), std::string(deep_levels, '['), std::string(1U << 20U, '"')}) {
        EXPECT_FALSE(decode_entry(text).has_value()) << head_of(text);
    }
    EXPECT_TRUE(decode_entry(entry_with("other", nested(deep_levels))).has_value());
}

// Guards against log lines as long as an odd entry.
TEST(odd_entries, reason_is_short) {
    constexpr std::size_t max_reason = 400;
    const std::string huge = '"' + std::string(1U << 20U, 'x') + '"';
    EXPECT_LE(decode_entry(entry_with("state", huge)).error().message.size(), max_reason);
    const std::string cut = huge.substr(0, huge.size() - 1);
    EXPECT_LE(decode_entry(cut).error().message.size(), max_reason);
    EXPECT_LE(parse_member(cut).error().message.size(), max_reason);
    EXPECT_LE(parse_page(cut).error().message.size(), max_reason);
    EXPECT_LE(platform::parse_engine_state(cut).error().message.size(), max_reason);
    EXPECT_LE(platform::decode_operator_row({"config", cut, 7, false}).error().message.size(),
              max_reason);
}

// Guards against a version that no later one exceeds, so that all of these are left out.
TEST(odd_operator_rows, version_that_is_no_number_is_not_taken) {
    for (const std::string& version : odd_numbers()) {
        const std::string config = R"({"routes":[],"services":[],"version":)" + version + "}";
        EXPECT_FALSE(platform::decode_operator_row({"config", config, 7, false}).has_value())
            << head_of(version);
        const std::string weights = R"({"model":"m","version":)" + version + "}";
        EXPECT_FALSE(platform::decode_operator_row({"version/m", weights, 7, false}).has_value())
            << head_of(version);
    }
}

// Guards against a time that overflows when it is added to the current one.
TEST(odd_operator_rows, time_too_long_is_cut) {
    for (const char* time : {"1e300", "9223372036854775807", "18446744073709551615", "-1e300"}) {
        const std::string config = R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/",)"
                                   R"("type":"idempotent","service":"s","timeout_ms":)" +
                                   std::string(time) + R"(,"slo_ms":)" + time +
                                   R"(,"gap_slo_ms":)" + time +
                                   R"(}],"services":[{"name":"s","cold_s":)" + time +
                                   R"(,"engine":{"models":[{"name":"m","warm_s":)" + time +
                                   R"(}]}}],"limits":{"header_timeout_ms":)" + time +
                                   R"(,"idle_timeout_ms":)" + time + "}}";
        const auto rules = platform::decode_routing(config);
        ASSERT_TRUE(rules.has_value()) << time << rules.error().message;
        const route& rule = rules->routes.at(0);
        const service_config& service = rules->services.begin()->second;
        for (const milliseconds& read :
             {rule.timeout, rule.latency_objective, rule.event_gap_objective,
              service.warm_up_duration, service.engine.load_duration, rules->limits.head_timeout,
              rules->limits.idle_timeout}) {
            EXPECT_GE(read.count(), 0) << time;
            EXPECT_LE(read, std::chrono::hours(24 * 366)) << time;
        }
    }
}

// Guards against a process that ends since it writes a deeply nested configuration again.
TEST(odd_operator_rows, deeply_nested_configuration_is_passed_on) {
    const std::string config = R"({"version":1,"routes":[],"other":)" + nested(deep_levels) + "}";
    const auto reduced = platform::reduce_for_sidecars({"config", config, 7, false});
    EXPECT_EQ(reduced.key, "config");
    EXPECT_EQ(reduced.version, 7U);
    EXPECT_TRUE(nlohmann::json::accept(reduced.value));
}

std::string member_with(const std::string& field, const std::string& value) {
    std::string text = "{";
    for (const auto& [name, usual] :
         std::vector<std::pair<std::string, std::string>>{{"instance", R"("g")"},
                                                          {"role", R"("gateway")"},
                                                          {"zone", R"("z")"},
                                                          {"region", R"("r")"},
                                                          {"peer", R"("10.0.0.1:80")"},
                                                          {"http", R"("10.0.0.1:81")"},
                                                          {"service", R"("")"},
                                                          {"incarnation", "1700000000000"}}) {
        if (name != field) {
            text.append("\"").append(name).append("\":").append(usual).append(",");
        }
    }
    return text + "\"" + field + "\":" + value + "}";
}

// Guards against a member that is taken for a gateway, or for the newest start, by an odd row.
TEST(odd_members, odd_row_names_no_member) {
    ASSERT_TRUE(parse_member(member_with("role", R"("sidecar")")).has_value());
    ASSERT_TRUE(parse_member(member_with("role", R"("gateway")")).has_value());
    EXPECT_FALSE(parse_member(member_with("role", R"("")")).has_value());
    EXPECT_FALSE(parse_member(member_with("role", R"("other")")).has_value());
    for (const std::string& value : odd_numbers()) {
        EXPECT_FALSE(parse_member(member_with("incarnation", value)).has_value()) << head_of(value);
    }
    for (const std::string& value : {std::string("7"), std::string("null"), nested(deep_levels)}) {
        for (const char* field :
             {"instance", "role", "zone", "region", "peer", "http", "service"}) {
            EXPECT_FALSE(parse_member(member_with(field, value)).has_value()) << field;
        }
    }
}

// Guards against a count of an engine's report that is wrapped around or undefined.
TEST(odd_reports, number_that_does_not_fit_is_unreadable) {
    const auto report_with = [](const std::string& field, const std::string& value) {
        std::string text = R"({"busy":false,"models":[])";
        for (const char* name : {"sequence", "num_waiting", "num_running", "born"}) {
            text += ",\"" + std::string(name) + "\":" + (name == field ? value : "3");
        }
        return text + "}";
    };
    ASSERT_TRUE(platform::parse_engine_state(report_with("", "")).has_value());
    for (const char* field : {"sequence", "num_waiting", "num_running", "born"}) {
        for (const std::string& value : odd_numbers()) {
            EXPECT_FALSE(platform::parse_engine_state(report_with(field, value)).has_value())
                << field << head_of(value);
        }
    }
    EXPECT_FALSE(platform::parse_engine_state(report_with("num_waiting", "4294967297")));
}

} // namespace
