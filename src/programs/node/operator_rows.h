/// @file
/// Decodes rows of the operator's table for gateways and sidecars.
#ifndef CITRONSEAM_PROGRAMS_NODE_OPERATOR_ROWS_H
#define CITRONSEAM_PROGRAMS_NODE_OPERATOR_ROWS_H

#include <functional>
#include <vector>

#include "citronseam/process/versioned_row.h"
#include "platform/decode.h"

namespace citronseam {

/// Decodes rows in order. A row that cannot be decoded is logged and skipped.
/// @param handle called with each decoded row and its version in the store
void decode_operator_rows(
    const std::vector<versioned_row>& rows,
    const std::function<void(platform::operator_row row, std::uint64_t version)>& handle);

} // namespace citronseam

#endif
