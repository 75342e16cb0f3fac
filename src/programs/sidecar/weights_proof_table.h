/// @file
/// Keeps the proofs of weights in the platform's store, one row for each model.
#ifndef CITRONSEAM_PROGRAMS_SIDECAR_WEIGHTS_PROOF_TABLE_H
#define CITRONSEAM_PROGRAMS_SIDECAR_WEIGHTS_PROOF_TABLE_H

#include <functional>
#include <map>
#include <string>

#include "citronseam/connection/io_thread_pool.h"
#include "citronseam/version/weights_proof.h"
#include "programs/node/store_client.h"

namespace citronseam {

/// Everything runs on the control thread.
class weights_proof_table {
public:
    /// Called with the proof of a model's newest version; version 0: there is none.
    using proof_handler = std::function<void(const weights_proof& proof)>;

    weights_proof_table(io_thread_pool& control, store_client& store);

    /// Reads the proof of a model. The store is asked once; without an answer there is no proof.
    void read(const std::string& model, proof_handler done);
    /// Writes the proof of a model, until the store has it or a newer one is to be written.
    void write(const std::string& model, const weights_proof& proof);

private:
    io_thread_pool& control_;
    store_client& store_;
    std::map<std::string, weights_proof> written_; ///< by model
};

} // namespace citronseam

#endif
