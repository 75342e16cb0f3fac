/// @file
/// Finds the word that a user most likely meant.
#ifndef CITRONSEAM_PROCESS_CLOSEST_WORD_H
#define CITRONSEAM_PROCESS_CLOSEST_WORD_H

#include <string>
#include <string_view>
#include <vector>

namespace citronseam {

/// @param word    what the user wrote
/// @param choices the valid words
/// @return the choice with the smallest edit distance; empty when there is no choice
std::string closest_word(std::string_view word, const std::vector<std::string>& choices);

} // namespace citronseam

#endif
