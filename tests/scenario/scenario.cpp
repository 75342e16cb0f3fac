#include "scenario/scenario.h"

#include <array>
#include <sstream>

#include "citronseam/process/closest_word.h"

namespace citronseam::scenario {
namespace {

/// A verb with the number of words that follow it.
struct verb {
    const char* name;
    std::size_t least;
    std::size_t most;
};

constexpr std::array<verb, 22> verbs{{
    {"start", 0, 0},   {"load", 3, 3}, {"join", 1, 1},    {"book", 2, 2},    {"await", 1, 1},
    {"again", 2, 2},   {"kill", 1, 1}, {"freeze", 1, 1},  {"thaw", 1, 1},    {"leave", 1, 1},
    {"restart", 1, 1}, {"cut", 1, 1},  {"heal", 1, 1},    {"silence", 1, 1}, {"corrupt", 2, 2},
    {"outage", 1, 1},  {"hang", 1, 1}, {"recover", 1, 1}, {"lose", 2, 2},    {"zone", 2, 2},
    {"release", 1, 1}, {"wait", 1, 1},
}};

const verb* find_verb(const std::string& name) {
    for (const auto& known : verbs) {
        if (name == known.name) {
            return &known;
        }
    }
    return nullptr;
}

std::vector<std::string> verb_names() {
    std::vector<std::string> names{"expect", "race"};
    for (const auto& known : verbs) {
        names.emplace_back(known.name);
    }
    return names;
}

void check(const step& current, std::vector<problem>& problems) {
    const std::string& name = current.words.front();
    if (name == "expect" || name == "race") {
        return;
    }
    const verb* known = find_verb(name);
    if (known == nullptr) {
        problems.push_back(
            {current.line, name,
             "unknown step; the closest is '" + closest_word(name, verb_names()) + "'"});
        return;
    }
    const std::size_t given = current.words.size() - 1;
    if (given < known->least || given > known->most) {
        problems.push_back({current.line, name,
                            "expected " + std::to_string(known->least) + " words after it, found " +
                                std::to_string(given)});
    }
}

} // namespace

std::string describe(const problem& found) {
    return "line " + std::to_string(found.line) + ", '" + found.word + "': " + found.message;
}

parsed_scenario parse(const std::string& text) {
    parsed_scenario scenario;
    std::istringstream lines(text);
    int number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        std::istringstream words(line.substr(0, line.find('#')));
        step current{number, {}};
        for (std::string word; words >> word;) {
            current.words.push_back(word);
        }
        if (!current.words.empty()) {
            check(current, scenario.problems);
            scenario.steps.push_back(std::move(current));
        }
    }
    return scenario;
}

} // namespace citronseam::scenario
