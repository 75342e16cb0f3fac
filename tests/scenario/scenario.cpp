#include "scenario/scenario.h"

#include <array>
#include <sstream>

#include "citronseam/process/closest_word.h"

namespace citronseam::scenario {
namespace {

/// Name of a step and the number of arguments it takes.
struct step_kind {
    const char* name;
    std::size_t min_arguments;
    std::size_t max_arguments;
};

constexpr std::array<step_kind, 22> step_kinds{{
    {"start", 0, 0},   {"load", 3, 3}, {"join", 1, 1},    {"book", 2, 2},    {"await", 1, 1},
    {"again", 2, 2},   {"kill", 1, 1}, {"freeze", 1, 1},  {"thaw", 1, 1},    {"leave", 1, 1},
    {"restart", 1, 1}, {"cut", 1, 1},  {"heal", 1, 1},    {"silence", 1, 1}, {"corrupt", 2, 2},
    {"outage", 1, 1},  {"hang", 1, 1}, {"recover", 1, 1}, {"lose", 2, 2},    {"zone", 2, 2},
    {"release", 1, 1}, {"wait", 1, 1},
}};

const step_kind* find_step_kind(const std::string& name) {
    for (const auto& known : step_kinds) {
        if (name == known.name) {
            return &known;
        }
    }
    return nullptr;
}

std::vector<std::string> step_names() {
    std::vector<std::string> names{"expect", "race"};
    for (const auto& known : step_kinds) {
        names.emplace_back(known.name);
    }
    return names;
}

void check_step(const step& current, std::vector<problem>& problems) {
    const std::string& name = current.words.front();
    if (name == "expect" || name == "race") {
        return;
    }
    const step_kind* known = find_step_kind(name);
    if (known == nullptr) {
        problems.push_back(
            {current.line, name,
             "unknown step; the closest is '" + closest_word(name, step_names()) + "'"});
        return;
    }
    const std::size_t argument_count = current.words.size() - 1;
    if (argument_count < known->min_arguments || argument_count > known->max_arguments) {
        problems.push_back({current.line, name,
                            "expected " + std::to_string(known->min_arguments) +
                                " arguments, found " + std::to_string(argument_count)});
    }
}

} // namespace

std::string describe(const problem& found) {
    return "line " + std::to_string(found.line) + ", '" + found.word + "': " + found.message;
}

parsed_scenario parse_scenario(const std::string& text) {
    parsed_scenario scenario;
    std::istringstream lines(text);
    int line_number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++line_number;
        std::istringstream words(line.substr(0, line.find('#')));
        step current{line_number, {}};
        for (std::string word; words >> word;) {
            current.words.push_back(word);
        }
        if (!current.words.empty()) {
            check_step(current, scenario.problems);
            scenario.steps.push_back(std::move(current));
        }
    }
    return scenario;
}

} // namespace citronseam::scenario
