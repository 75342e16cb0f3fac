// Answers of an entry that do not state what was done, at the operators' tool.
#include <string>

#include <gtest/gtest.h>

#include "support/child_process.h"
#include "support/program.h"
#include "support/raw_server.h"

namespace {

using namespace citronseam;
using namespace citronseam::harness;

constexpr milliseconds exit_timeout{10000};
constexpr int outcome_unknown = 4; ///< as `citronseam --help` lists it

/// @return exit code of the release of a request from quarantine, answered with this body
int release_with_answer(const std::string& body) {
    raw_server entry([body](const std::string&) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    });
    child_process tool(
        {program_path("citronseam"), "--entry", entry.address(), "quarantine", "release", "5"});
    return tool.wait_for_exit(exit_timeout);
}

// Guards against "released" that is concluded from the status of a foreign answer.
TEST(tool_answers, release_from_quarantine_is_done_only_if_the_answer_says_so) {
    EXPECT_EQ(release_with_answer(R"({"released":true})"), 0);
    EXPECT_EQ(release_with_answer("{}"), outcome_unknown);
    EXPECT_EQ(release_with_answer(R"({"requests":[]})"), outcome_unknown);
}

} // namespace
