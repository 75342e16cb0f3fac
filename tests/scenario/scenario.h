/// @file
/// A small test language: one step a line, run against real processes. docs/SCENARIOS.md lists the
/// steps.
#ifndef CITRONSEAM_TESTS_SCENARIO_SCENARIO_H
#define CITRONSEAM_TESTS_SCENARIO_SCENARIO_H

#include <string>
#include <vector>

namespace citronseam::scenario {

/// One line of a scenario, cut into words.
struct step {
    int line{0};
    std::vector<std::string> words;
};

/// Something wrong with a scenario, or an expectation that did not hold.
struct problem {
    int line{0};
    std::string word;
    std::string message;
};

/// @return `line N, 'word': message`
std::string describe(const problem& found);

/// A parsed scenario.
struct parsed_scenario {
    std::vector<step> steps;
    std::vector<problem> problems;
};

/// Cuts a text into steps and checks that every verb is known and has its words.
parsed_scenario parse(const std::string& text);

/// Runs a scenario.
/// @return expectations that did not hold, and steps that could not be carried out
std::vector<problem> run(const parsed_scenario& scenario);

} // namespace citronseam::scenario

#endif
