/// @file
/// Reading of the operator's table, for every program that follows it.
#ifndef CITRONSEAM_PROGRAMS_NODE_OPERATOR_ROWS_H
#define CITRONSEAM_PROGRAMS_NODE_OPERATOR_ROWS_H

#include <functional>
#include <vector>

#include "citronseam/process/versioned_row.h"
#include "platform/decode.h"

namespace citronseam {

/// Decodes rows one after another. One that cannot be read is logged and left out.
/// @param take called with each row that can be read, and its version in the store
void decode_operator_rows(
    const std::vector<versioned_row>& rows,
    const std::function<void(platform::operator_row row, std::uint64_t version)>& take);

} // namespace citronseam

#endif
