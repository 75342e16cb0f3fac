// Runs the files in tests/scenarios and checks the syntax errors of the scenario language.
#include <filesystem>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "scenario/scenario.h"

namespace {

using namespace citronseam::scenario;

TEST(scenario_language, errors_name_line_and_word) {
    const auto parsed = parse_scenario("start\n\nkil agent-a # comment\nwait\n");
    ASSERT_EQ(parsed.problems.size(), 2U);
    EXPECT_EQ(describe(parsed.problems[0]), "line 3, 'kil': unknown step; the closest is 'kill'");
    EXPECT_EQ(describe(parsed.problems[1]), "line 4, 'wait': expected 1 arguments, found 0");
}

class scenario_file : public ::testing::TestWithParam<std::string> {};

TEST_P(scenario_file, holds) {
    std::ifstream file(std::string(CITRONSEAM_SOURCE_DIR) + "/tests/scenarios/" + GetParam() +
                       ".scenario");
    std::ostringstream text;
    text << file.rdbuf();
    ASSERT_FALSE(text.str().empty());
    for (const auto& problem : run_scenario(parse_scenario(text.str()))) {
        ADD_FAILURE() << describe(problem);
    }
}

INSTANTIATE_TEST_SUITE_P(all, scenario_file,
                         ::testing::Values("store_cut_right_after_acceptance", "operators_race",
                                           "restart_during_an_outage",
                                           "rollout_across_a_cut_region"),
                         [](const auto& named) { return named.param; });

} // namespace
