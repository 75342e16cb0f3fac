#include "citronseam/process/closest_word.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace citronseam {
namespace {

/// Levenshtein distance with one row of state.
std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j] + 1, row[j + 1] + 1, replaced});
        }
    }
    return row.back();
}

} // namespace

std::string closest_word(std::string_view word, const std::vector<std::string>& choices) {
    std::string best;
    std::size_t smallest = std::numeric_limits<std::size_t>::max();
    for (const auto& choice : choices) {
        const std::size_t distance = edit_distance(word, choice);
        if (distance < smallest) {
            smallest = distance;
            best = choice;
        }
    }
    return best;
}

} // namespace citronseam
