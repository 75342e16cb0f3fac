#include "programs/sidecar/weights_proof_table.h"

#include <utility>

#include "citronseam/process/log.h"

namespace citronseam {
namespace {

constexpr const char* proofs_table = "citronseam_weights_proofs";
constexpr milliseconds retry_delay{2000}; // all calls to the store are paid for

weights_proof find_proof(const row_batch& batch, const std::string& model) {
    for (const versioned_row& row : batch.rows) {
        if (row.key != model || row.is_removed) {
            continue;
        }
        const auto proof = parse_weights_proof(row.value);
        if (proof) {
            return *proof;
        }
        log_event(log_level::warning, "weights_proof_unreadable",
                  {{"row", row.key}, {"reason", proof.error().message}});
    }
    return {};
}

} // namespace

weights_proof_table::weights_proof_table(io_thread_pool& control, store_client& store)
    : control_(control), store_(store) {}

void weights_proof_table::read(const std::string& model, proof_handler done) {
    store_.read_table(proofs_table, [model, done = std::move(done)](platform::store_outcome outcome,
                                                                    const row_batch& batch) {
        done(outcome == platform::store_outcome::done ? find_proof(batch, model) : weights_proof{});
    });
}

void weights_proof_table::write(const std::string& model, const weights_proof& proof) {
    written_[model] = proof;
    store_.write_row(proofs_table, model, to_json(proof),
                     [this, model, proof](platform::store_outcome outcome) {
                         if (outcome == platform::store_outcome::done) {
                             return;
                         }
                         control_.post_after(retry_delay, [this, model, proof] {
                             if (written_[model] == proof) {
                                 write(model, proof);
                             }
                         });
                     });
}

} // namespace citronseam
