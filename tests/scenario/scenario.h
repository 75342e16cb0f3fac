/// @file
/// A line-based test language. Each line is a step that runs against real processes;
/// docs/SCENARIOS.md lists the steps.
#ifndef CITRONSEAM_TESTS_SCENARIO_SCENARIO_H
#define CITRONSEAM_TESTS_SCENARIO_SCENARIO_H

#include <string>
#include <vector>

namespace citronseam::scenario {

/// A line of a scenario, split into words.
struct step {
    int line{0};
    std::vector<std::string> words;
};

/// A syntax error, a step that could not be executed, or an expectation that failed.
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

/// Splits a text into steps and checks that each step is known and has the right number of
/// arguments. Errors are returned in `problems`.
parsed_scenario parse_scenario(const std::string& text);

/// Runs a scenario.
/// @return expectations that failed and steps that could not be executed; syntax errors if there
///         are any, and then nothing is run
std::vector<problem> run_scenario(const parsed_scenario& scenario);

} // namespace citronseam::scenario

#endif
