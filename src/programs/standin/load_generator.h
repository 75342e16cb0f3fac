/// @file
/// A small open-loop load generator that checks every answer it gets.
#ifndef CITRONSEAM_PROGRAMS_STANDIN_LOAD_GENERATOR_H
#define CITRONSEAM_PROGRAMS_STANDIN_LOAD_GENERATOR_H

#include <string>
#include <vector>

namespace CLI { // NOLINT(readability-identifier-naming): the library's name
class App;
} // namespace CLI

namespace citronseam::standin {

/// What to send.
struct load_options {
    std::vector<std::string> targets; ///< base URLs, used in turn
    std::string service{"citron-pool"};
    std::string workspace{"load"};
    std::string method{"POST"};
    std::string path{"/v1/completions"};
    std::string prompt_prefix{"prompt"};
    double rate{50};        ///< requests a second
    double seconds{2};      ///< how long
    int tokens{16};         ///< tokens of each answer
    bool is_stream{true};   ///< server-sent events
    bool has_keys{false};   ///< whether each request carries an Idempotency-Key
    int timeout_ms{30000};  ///< for one request
    int most_running{4000}; ///< requests under way at most; more are counted as skipped
};

/// Adds the subcommand `load`.
void add_load_options(CLI::App& app, load_options& options);

/// Sends the load and prints one JSON object: counts, latencies in milliseconds, verdicts.
/// @return 0 when every answer that looked whole was whole
int run_load(const load_options& options);

} // namespace citronseam::standin

#endif
