/// @file
/// An open-loop load generator that checks every response.
#ifndef CITRONSEAM_PROGRAMS_STANDIN_LOAD_GENERATOR_H
#define CITRONSEAM_PROGRAMS_STANDIN_LOAD_GENERATOR_H

#include <string>
#include <vector>

namespace CLI { // NOLINT(readability-identifier-naming): the library's name
class App;
} // namespace CLI

namespace citronseam::standin {

/// Parameters of the generated load.
struct load_options {
    std::vector<std::string> targets; ///< base URLs, used round-robin
    std::string service{"citron-pool"};
    std::string workspace{"load"};
    std::string method{"POST"};
    std::string path{"/v1/completions"};
    std::string prompt_prefix{"prompt"};
    double requests_per_second{50}; ///< open loop: independent of responses
    double duration_s{2};           ///< sending time
    int tokens{16};                 ///< tokens per response
    bool is_stream{true};           ///< whether responses are server-sent events
    bool has_keys{false};           ///< whether requests have an Idempotency-Key
    int timeout_ms{30000};          ///< timeout of a request
    int max_in_flight{4000};        ///< further requests are counted as skipped
};

/// Adds the subcommand `load`.
void add_load_options(CLI::App& app, load_options& options);

/// Sends the load and prints one JSON object: counts, latencies in milliseconds, verdicts.
/// @return exit code: 0 when every 2xx response was complete and correct, otherwise 2
int run_load(const load_options& options);

} // namespace citronseam::standin

#endif
