// Tests the decision logic of the control state: configuration, notices, evidence and membership,
// and the log rate limit and YAML edits.
#include <gtest/gtest.h>

#include "citronseam/process/control_state.h"
#include "citronseam/process/log_rate_limiter.h"
#include "citronseam/process/membership.h"
#include "citronseam/process/yaml_edit.h"
#include "citronseam/version/sha256.h"
#include "support/deployment.h"

namespace {

using namespace citronseam;

std::shared_ptr<const accepted_configuration> accepted(std::uint64_t generation,
                                                       const std::string& body) {
    const auto read = parse_accepted_configuration(generation, sha256_hex(body), "attempt", body);
    return read ? *read : nullptr;
}

// Guards against a flood of log lines, as under high load when every request is refused.
TEST(log_rate_limiter, limits_lines_per_event_and_counts_suppressed_lines) {
    log_rate_limiter limit;
    const time_point now = time_point{} + seconds(100);
    std::uint32_t granted = 0;
    for (std::uint32_t i = 0; i < 3 * max_lines_per_second; ++i) {
        granted += admit_log_line(limit, "request_done", now).is_admitted ? 1 : 0;
    }
    EXPECT_EQ(granted, max_lines_per_second);
    EXPECT_TRUE(admit_log_line(limit, "ready", now).is_admitted) << "other events are not limited";
    const log_admission next = admit_log_line(limit, "request_done", now + seconds(1));
    EXPECT_TRUE(next.is_admitted);
    EXPECT_EQ(next.suppressed_lines, 2 * max_lines_per_second);
}

TEST(control_state, a_generation_never_decreases) {
    control_state state;
    const std::string body = harness::test_configuration();
    EXPECT_TRUE(install_configuration(state, accepted(5, body)));
    EXPECT_FALSE(install_configuration(state, accepted(4, body)));
    EXPECT_FALSE(install_configuration(state, accepted(5, body)));
    EXPECT_TRUE(install_configuration(state, accepted(6, body)));
    EXPECT_EQ(accepted_generation(state), 6U);
}

TEST(control_state, a_body_that_does_not_match_its_hash_is_rejected) {
    const std::string body = harness::test_configuration();
    EXPECT_FALSE(
        parse_accepted_configuration(1, sha256_hex(body + " "), "attempt", body).has_value());
}

TEST(control_state, a_notice_takes_a_zone_out_of_service_and_expires) {
    control_state state;
    const time_point now = time_point{} + seconds(100);
    EXPECT_FALSE(is_zone_in_service(state, "zone-a", now)) << "nothing is known yet";
    install_configuration(state, accepted(1, harness::test_configuration()));
    EXPECT_TRUE(is_zone_in_service(state, "zone-a", now));
    EXPECT_FALSE(is_zone_in_service(state, "zone-x", now));
    EXPECT_TRUE(apply_notice(state, {"zone-a", 10, true, now + seconds(5)}));
    EXPECT_FALSE(apply_notice(state, {"zone-a", 9, false, now + seconds(5)}))
        << "an earlier notice";
    EXPECT_FALSE(is_zone_in_service(state, "zone-a", now));
    EXPECT_TRUE(is_zone_in_service(state, "zone-a", now + seconds(6)));
    EXPECT_TRUE(apply_notice(state, {"zone-a", 11, false, now + seconds(5)}));
    EXPECT_TRUE(is_zone_in_service(state, "zone-a", now));
}

TEST(control_state, old_evidence_is_stale_unless_the_policy_is_to_serve) {
    control_state state;
    const time_point now = time_point{} + seconds(100);
    EXPECT_TRUE(must_refuse_for_stale_evidence(state, now));
    install_configuration(state, accepted(1, harness::test_configuration()));
    advance_evidence(state, now);
    advance_evidence(state, now - seconds(50));
    EXPECT_FALSE(must_refuse_for_stale_evidence(state, now + seconds(3)));
    EXPECT_TRUE(must_refuse_for_stale_evidence(state, now + milliseconds(3001)));
    install_configuration(state,
                          accepted(2, harness::test_configuration(
                                          {{"deployment: test\n", "deployment: test\nevidence:\n"
                                                                  "  when_isolated: serve\n"}})));
    EXPECT_FALSE(must_refuse_for_stale_evidence(state, now + seconds(60)));
}

TEST(control_state, heartbeats_from_a_majority_are_evidence) {
    const time_point now = time_point{} + seconds(100);
    EXPECT_EQ(last_majority_contact({}, 1, now), now) << "a single entry is its own majority";
    EXPECT_EQ(last_majority_contact({}, 3, now), time_point{});
    EXPECT_EQ(last_majority_contact({now - seconds(1)}, 3, now), now - seconds(1));
    EXPECT_EQ(last_majority_contact({now - seconds(9), now - seconds(1), now - seconds(2)}, 5, now),
              now - seconds(2));
}

std::vector<listed_instance> many_entries(int zones, int per_zone) {
    std::vector<listed_instance> entries;
    for (int zone = 0; zone < zones; ++zone) {
        for (int i = 0; i < per_zone; ++i) {
            listed_instance entry;
            entry.instance = "entry-" + std::to_string(zone) + "-" + std::to_string(i);
            entry.availability_zone = "zone-" + std::to_string(zone);
            entries.push_back(entry);
        }
    }
    return entries;
}

TEST(membership, an_agent_reports_to_entries_of_several_zones_own_zone_first) {
    const auto chosen = choose_entries("agent-1", "zone-3", many_entries(17, 19), 4);
    ASSERT_EQ(chosen.size(), 4U);
    EXPECT_EQ(chosen[0].availability_zone, "zone-3");
    std::set<std::string> zones;
    for (const auto& entry : chosen) {
        zones.insert(entry.availability_zone);
    }
    EXPECT_EQ(zones.size(), 4U);
}

TEST(membership, removing_one_entry_changes_at_most_one_choice) {
    auto entries = many_entries(3, 4);
    const auto before = choose_entries("agent-1", "zone-0", entries, 6);
    entries.erase(std::find_if(entries.begin(), entries.end(), [&](const auto& entry) {
        return entry.instance == before[2].instance;
    }));
    const auto after = choose_entries("agent-1", "zone-0", entries, 6);
    std::size_t kept = 0;
    for (const auto& entry : after) {
        kept += std::any_of(before.begin(), before.end(),
                            [&](const auto& other) { return other.instance == entry.instance; });
    }
    EXPECT_GE(kept, 5U);
}

TEST(membership, reads_the_instance_list) {
    const auto list = parse_instance_list(
        R"({"instances":[{"instance":"e","role":"entry","availability_zone":"z",
            "peer_address":"127.0.0.1:1","leaving":true}]})");
    ASSERT_TRUE(list.has_value());
    ASSERT_EQ(list->size(), 1U);
    EXPECT_EQ(list->front().role, process_role::entry);
    EXPECT_TRUE(list->front().is_leaving);
    EXPECT_FALSE(parse_instance_list("{}").has_value());
}

TEST(membership, callers_get_entries_of_their_zone_first_and_are_distributed) {
    std::vector<entry_address> entries;
    for (const auto* zone : {"a", "a", "b", "b"}) {
        entries.push_back({"e" + std::to_string(entries.size()), zone, "", 0});
    }
    entries[0].load = 100;
    std::map<std::string, int> first;
    for (std::uint64_t i = 0; i < 100; ++i) {
        random_source random(i);
        ++first[order_entries_for_caller("b", entries, random).front().instance];
    }
    EXPECT_EQ(first["e2"] + first["e3"], 100);
    EXPECT_GE(first["e2"], 25);
    random_source random(1);
    EXPECT_EQ(order_entries_for_caller("a", entries, random).front().instance, "e1")
        << "the less loaded entry";
}

TEST(settings, problems_contain_file_line_field_and_the_closest_key) {
    const auto read = parse_settings("role: entri\ninstance: a\navailabilty_zone: z\n", "s.yaml");
    const std::string text = describe(read.problems);
    EXPECT_NE(
        text.find("s.yaml:1: role: expected one of entry, agent, gateway, sidecar, found 'entri'"),
        std::string::npos)
        << text;
    EXPECT_NE(text.find("s.yaml:3: availabilty_zone: unknown key; the closest is "
                        "'availability_zone'"),
              std::string::npos)
        << text;
}

TEST(settings, time_within_which_servers_are_left_must_not_be_zero) {
    const auto read = parse_settings("role: gateway\nbounds:\n  removal_due: 0ms\n", "s.yaml");
    const std::string text = describe(read.problems);
    EXPECT_NE(text.find("s.yaml:3: bounds.removal_due: must be longer than zero"),
              std::string::npos)
        << text;
}

TEST(configuration, missing_units_and_dangling_references_are_rejected) {
    const auto read = parse_configuration(
        harness::test_configuration({{"region: region-b", "region: region-bb"},
                                     {"request_timeout: 10s", "request_timeout: 10"}}),
        "c.yaml");
    const std::string text = describe(read.problems);
    EXPECT_NE(text.find("there is no region 'region-bb'; the closest is 'region-b'"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("services[0].limits.request_timeout: expected a duration with a unit "
                        "(ms, s, m, h), found '10'"),
              std::string::npos)
        << text;
}

TEST(configuration, rules_decide_which_requests_are_idempotent) {
    const auto read = parse_configuration(harness::test_configuration(), "c.yaml");
    ASSERT_TRUE(read.is_valid()) << describe(read.problems);
    const service& desk = *find_service(read.value, "desk");
    EXPECT_TRUE(is_idempotent(desk, "GET", "/bookings/7"));
    EXPECT_FALSE(is_idempotent(desk, "POST", "/bookings"));
    EXPECT_TRUE(is_idempotent(desk, "POST", "/lookups?gate=3"));
    EXPECT_FALSE(is_idempotent(desk, "POST", "/lookups2"))
        << "a rule must not match part of a path segment";
    EXPECT_TRUE(is_idempotent(*find_service(read.value, "pool"), "POST", "/v1/completions"));
}

TEST(yaml_edit, changes_one_value_and_keeps_comments) {
    const std::string text =
        "# head\nzones:\n  - name: a # first\n    in: true # why\n  - name: b\n";
    EXPECT_EQ(*set_yaml_value(text, {"zones", "a", "in"}, "false"),
              "# head\nzones:\n  - name: a # first\n    in: false # why\n  - name: b\n");
    EXPECT_EQ(*set_yaml_value(text, {"zones", "b", "in"}, "false"),
              "# head\nzones:\n  - name: a # first\n    in: true # why\n  - name: b\n"
              "    in: false\n");
    EXPECT_FALSE(set_yaml_value(text, {"zones", "c", "in"}, "false").has_value());
}

TEST(configuration, a_key_must_outlive_its_request) {
    const std::string body = harness::test_configuration(
        {{"request_timeout: 5s", "request_timeout: 5s\n      result_retention: 9s"}});
    const auto read = parse_configuration(body, "c.yaml");
    ASSERT_FALSE(read.is_valid());
    EXPECT_NE(describe(read.problems).find("result_retention"), std::string::npos)
        << describe(read.problems);
}

} // namespace
