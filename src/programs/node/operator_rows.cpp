#include "programs/node/operator_rows.h"

#include "citronseam/process/log.h"

namespace citronseam {

void decode_operator_rows(
    const std::vector<versioned_row>& rows,
    const std::function<void(platform::operator_row row, std::uint64_t version)>& handle) {
    for (const auto& row : rows) {
        auto decoded = platform::decode_operator_row(row);
        if (!decoded) {
            log_event(log_level::error, "operator_row_unreadable",
                      {{"row", row.key}, {"reason", decoded.error().message}});
            continue;
        }
        handle(std::move(*decoded), row.version);
    }
}

} // namespace citronseam
