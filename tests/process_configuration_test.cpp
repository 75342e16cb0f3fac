// How processes fetch the accepted configuration from their peers.
#include <sstream>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "citronseam/process/sizes.h"
#include "support/deployment.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr std::size_t workspace_count = 6000;
/// A configuration takes about 1.5 s at this rate, six heartbeat intervals.
constexpr std::size_t link_rate = 256 * kibibyte;
/// Time in which further copies would arrive.
constexpr milliseconds copies_wait{3000};
/// Shorter than the 2.5 s after which a request without a reply is given up on.
constexpr milliseconds reconnect_bound{2000};

/// @return a configuration of at least 300 KiB
std::string large_configuration() {
    std::string workspaces = "workspaces:\n";
    for (std::size_t i = 0; i < workspace_count; ++i) {
        workspaces +=
            "  - name: workspace-" + std::to_string(i) + "\n    weight: 1\n    queue_limit: 64\n";
    }
    return test_configuration({{"workspaces:\n", workspaces}});
}

/// @return the lines of an event of a process with that generation
std::vector<std::string> lines_of(const child_process& process, const std::string& event,
                                  const std::string& generation) {
    std::vector<std::string> lines;
    std::istringstream output(process.output());
    for (std::string line; std::getline(output, line);) {
        const bool is_event = line.find("event=" + event + " ") != std::string::npos;
        if (is_event && log_field_value(line, "generation") == generation) {
            lines.push_back(line);
        }
    }
    return lines;
}

/// Four entries and one agent, which reaches each entry through a proxy.
class configuration_fetch : public ::testing::Test {
protected:
    static deployment_plan make_plan() {
        auto plan = small_deployment_plan();
        plan.entry_zones = {"zone-a", "zone-a", "zone-b", "zone-b"};
        plan.backend_servers = {{"agent-d", "desk", "zone-a", false, {}}};
        plan.has_proxies = true;
        return plan;
    }

    void SetUp() override {
        system.start();
        const std::string text = large_configuration();
        ASSERT_GE(text.size(), 300 * kibibyte);
        set_link_rate(link_rate);
        system.apply(text);
    }

    void set_link_rate(std::size_t bytes_per_second) {
        for (std::size_t i = 0; i < system.entry_count(); ++i) {
            system.proxy("peer:entry-" + std::to_string(i)).set_target_rate(bytes_per_second);
        }
    }

    void set_disconnected(bool is_disconnected) {
        for (std::size_t i = 0; i < system.entry_count(); ++i) {
            system.proxy("peer:entry-" + std::to_string(i)).set_disconnected(is_disconnected);
        }
    }

    child_process& agent() { return system.process("agent-d"); }
    std::string wait_for_event(const std::string& event, milliseconds timeout) {
        return agent().wait_for_line("event=" + event + " generation=2", timeout);
    }

    deployment system{make_plan()};
};

// Guards against an agent that requests a large configuration from all entries at once, and again
// while the first copy is on its way.
TEST_F(configuration_fetch, large_configuration_is_sent_once_to_an_agent_behind_slow_links) {
    ASSERT_FALSE(wait_for_event("configuration_in_force", milliseconds(10000)).empty())
        << agent().output();
    std::this_thread::sleep_for(copies_wait);
    // All lines until this one are read.
    set_link_rate(0);
    system.apply(test_configuration());
    ASSERT_FALSE(
        agent()
            .wait_for_line("event=configuration_in_force generation=3 ", milliseconds(10000))
            .empty())
        << agent().output();
    EXPECT_EQ(lines_of(agent(), "configuration_received", "2").size(), 1U);
}

// Guards against an agent that waits for a reply after the connection it requested it on was lost.
TEST_F(configuration_fetch, configuration_is_requested_again_after_the_connection_is_lost) {
    ASSERT_FALSE(wait_for_event("configuration_requested", milliseconds(5000)).empty())
        << agent().output();
    set_link_rate(0);
    set_disconnected(true);
    set_disconnected(false);
    EXPECT_FALSE(wait_for_event("configuration_in_force", reconnect_bound).empty())
        << agent().output();
    // The configuration came before this line, so all requests for it are read.
    EXPECT_GE(lines_of(agent(), "configuration_requested", "2").size(), 2U)
        << "the reply arrived before the connection was cut\n"
        << agent().output();
}

} // namespace
