// Fault matrix: injects every fault before and during every operation. Each combination runs as a
// generated scenario, or is skipped with a reason if it cannot occur.
#include <array>
#include <string>

#include <gtest/gtest.h>

#include "scenario/scenario.h"

namespace {

using namespace citronseam::scenario;

/// A fault, as scenario steps that inject it and that remove it.
struct fault {
    const char* name;
    const char* begin_steps;
    const char* end_steps;
};

constexpr std::array<fault, 14> faults{{
    {"agent_killed", "kill agent-a\nkill agent-d\n", "restart agent-a\nrestart agent-d\n"},
    {"agent_frozen", "freeze agent-a\nfreeze agent-d\n", "thaw agent-a\nthaw agent-d\n"},
    {"entry_killed", "kill entry-0\n", "restart entry-0\n"},
    {"entry_frozen", "freeze entry-0\n", "thaw entry-0\n"},
    {"store_down", "outage store\n", "recover store\n"},
    {"store_hanging", "hang store\n", "recover store\n"},
    {"answers_lost", "lose store 2\n", "lose store 0\n"},
    {"links_silent", "silence peer:entry-0\nsilence far:entry-0\n", ""},
    {"entry_cut_off", "cut store:entry-0\ncut peer:entry-0\ncut far:entry-0\n",
     "heal store:entry-0\nheal peer:entry-0\nheal far:entry-0\n"},
    {"region_cut_off", "cut zone-b\n", "heal zone-b\n"},
    {"server_killed", "kill agent-a-server\nkill agent-d-server\n",
     "restart agent-a-server\nrestart agent-d-server\n"},
    {"origin_down", "outage weights\n", "recover weights\n"},
    {"chunk_links_silent", "silence swarm:agent-a\nsilence swarm:agent-b\n", ""},
    {"chunks_corrupted", "corrupt swarm:agent-a 2\ncorrupt swarm:agent-b 2\n", ""},
}};

/// An operation, as scenario steps that start it and wait for it, and the expectations that must
/// hold after the operation and after the fault has been removed.
struct operation {
    const char* name;
    const char* begin_steps;
    const char* wait_steps;
    const char* expectations;
};

constexpr std::array<operation, 7> operations{{
    {"request", "load steady 25 3s\n", "join steady\n", "expect whole steady\n"},
    {"keyed_request", "book k 1\n", "await k\nexpect once k\n", "again k 2\nexpect once k\n"},
    {"release", "load steady 15 3s\nrelease 2\n", "join steady\n",
     "expect whole steady\nrelease 2\nexpect version 25s\n"},
    {"configuration_change", "zone out zone-b\n", "", "zone in zone-b\nexpect generation 10s\n"},
    {"zone_move", "load steady 25 6s\nzone out zone-a\n", "wait 4s\nexpect quiet agent-a 3s\n",
     "join steady\nexpect whole steady\nexpect quiet agent-a 3s\nzone in zone-a\n"
     "expect generation 10s\n"},
    {"leaving", "load steady 15 3s\nleave agent-b\n", "join steady\n",
     "expect whole steady\nexpect ended agent-b 15s\nrestart agent-b\n"},
    {"start_up", "restart agent-b\nrestart entry-2\n", "", "expect generation 10s\n"},
}};

/// @return why a combination cannot occur, or nullptr
const char* skip_reason(const fault& injected_fault, const operation& concurrent_operation) {
    const std::string name = injected_fault.name;
    const std::string operation_name = concurrent_operation.name;
    const bool is_chunk_fault =
        name == "chunks_corrupted" || name == "origin_down" || name == "chunk_links_silent";
    if (is_chunk_fault && operation_name != "release") {
        return "chunks are transferred only during a release";
    }
    return nullptr;
}

std::string compose_scenario(const fault& injected_fault, const operation& concurrent_operation,
                             bool is_fault_first) {
    std::string text = "start\n";
    text += is_fault_first
                ? std::string(injected_fault.begin_steps) + concurrent_operation.begin_steps
                : std::string(concurrent_operation.begin_steps) + "wait 100ms\n" +
                      injected_fault.begin_steps;
    text += concurrent_operation.wait_steps;
    text += "wait 1s\n";
    text += injected_fault.end_steps;
    text += "wait 2s\n";
    text += concurrent_operation.expectations;
    text += "expect serving 15s\n";
    return text;
}

class matrix_test : public ::testing::Test {
public:
    matrix_test(const fault& injected_fault, const operation& concurrent_operation,
                bool is_fault_first)
        : fault_(injected_fault), operation_(concurrent_operation),
          is_fault_first_(is_fault_first) {}

    void TestBody() override {
        if (const char* reason = skip_reason(fault_, operation_)) {
            GTEST_SKIP() << "cannot occur: " << reason;
        }
        const std::string text = compose_scenario(fault_, operation_, is_fault_first_);
        for (const auto& problem : run_scenario(parse_scenario(text))) {
            ADD_FAILURE() << describe(problem) << "\n" << text;
        }
    }

private:
    const fault& fault_;
    const operation& operation_;
    bool is_fault_first_;
};

void register_test(const fault& injected_fault, const operation& concurrent_operation,
                   bool is_fault_first) {
    const std::string name = std::string(injected_fault.name) +
                             (is_fault_first ? "_before_" : "_during_") + concurrent_operation.name;
    ::testing::RegisterTest(
        "fault_matrix", name.c_str(), nullptr, nullptr, __FILE__, __LINE__,
        [&injected_fault, &concurrent_operation, is_fault_first]() -> ::testing::Test* {
            return new matrix_test(injected_fault, concurrent_operation, is_fault_first);
        });
}

} // namespace

int main(int argc, char** argv) {
    ::testing::InitGoogleTest(&argc, argv);
    for (const auto& injected_fault : faults) {
        for (const auto& concurrent_operation : operations) {
            register_test(injected_fault, concurrent_operation, true);
            register_test(injected_fault, concurrent_operation, false);
        }
    }
    return RUN_ALL_TESTS();
}
