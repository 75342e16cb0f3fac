/// @file
/// Suggests the valid word closest to a misspelled one.
#ifndef CITRONSEAM_PROCESS_CLOSEST_WORD_H
#define CITRONSEAM_PROCESS_CLOSEST_WORD_H

#include <string>
#include <string_view>
#include <vector>

namespace citronseam {

/// @param word    the text to match
/// @param choices the valid words
/// @return the choice with the smallest edit distance; empty when `choices` is empty
std::string closest_word(std::string_view word, const std::vector<std::string>& choices);

} // namespace citronseam

#endif
