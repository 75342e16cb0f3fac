// The fault matrix: every fault before and during every operation. Each pair is written out as a
// scenario and run, or says why it cannot occur.
#include <array>
#include <string>

#include <gtest/gtest.h>

#include "scenario/scenario.h"

namespace {

using namespace citronseam::scenario;

/// A fault: how it begins and how it ends.
struct fault {
    const char* name;
    const char* begin;
    const char* end;
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

/// An operation: its steps, and what must hold after it and after the fault ended.
struct operation {
    const char* name;
    const char* begin;
    const char* rest;
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

/// @return why a pair cannot occur, or nullptr
const char* impossible(const fault& with, const operation& during) {
    const std::string name = with.name;
    const std::string what = during.name;
    const bool is_about_chunks =
        name == "chunks_corrupted" || name == "origin_down" || name == "chunk_links_silent";
    if (is_about_chunks && what != "release") {
        return "chunks travel during a release only";
    }
    return nullptr;
}

std::string write_scenario(const fault& with, const operation& during, bool is_before) {
    std::string text = "start\n";
    text += is_before ? std::string(with.begin) + during.begin
                      : std::string(during.begin) + "wait 100ms\n" + with.begin;
    text += during.rest;
    text += "wait 1s\n";
    text += with.end;
    text += "wait 2s\n";
    text += during.expectations;
    text += "expect serving 15s\n";
    return text;
}

class matrix_cell : public ::testing::Test {
public:
    matrix_cell(const fault& with, const operation& during, bool is_before)
        : fault_(with), operation_(during), is_before_(is_before) {}

    void TestBody() override {
        if (const char* reason = impossible(fault_, operation_)) {
            GTEST_SKIP() << "cannot occur: " << reason;
        }
        const std::string text = write_scenario(fault_, operation_, is_before_);
        for (const auto& problem : run(parse(text))) {
            ADD_FAILURE() << describe(problem) << "\n" << text;
        }
    }

private:
    const fault& fault_;
    const operation& operation_;
    bool is_before_;
};

void register_cell(const fault& with, const operation& during, bool is_before) {
    const std::string name =
        std::string(with.name) + (is_before ? "_before_" : "_during_") + during.name;
    ::testing::RegisterTest("fault_matrix", name.c_str(), nullptr, nullptr, __FILE__, __LINE__,
                            [&with, &during, is_before]() -> ::testing::Test* {
                                return new matrix_cell(with, during, is_before);
                            });
}

} // namespace

int main(int argc, char** argv) {
    ::testing::InitGoogleTest(&argc, argv);
    for (const auto& with : faults) {
        for (const auto& during : operations) {
            register_cell(with, during, true);
            register_cell(with, during, false);
        }
    }
    return RUN_ALL_TESTS();
}
