/// @file
/// Stand-in for the store of the users' platform; speaks the store's published protocol.
#ifndef CITRONSEAM_TESTS_SUPPORT_ROW_STORE_H
#define CITRONSEAM_TESTS_SUPPORT_ROW_STORE_H

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "citronseam/connection/http_server.h"
#include "citronseam/connection/io_thread_pool.h"

namespace citronseam::harness {

/// A store with versioned rows, transactions and long-poll change feeds.
class row_store {
public:
    row_store();

    /// @return `host:port`
    std::string address() const;
    /// Writes a row directly, as an operator or a backend server would.
    /// @return version of the row
    std::uint64_t put(const std::string& table, const std::string& key, const std::string& value);
    /// Sets JSON texts that all answers on a table hold as further records, before its rows. Empty
    /// answers of feeds stay empty.
    void set_raw_records(const std::string& table, std::vector<std::string> records);
    /// Removes a row.
    void remove(const std::string& table, const std::string& key);
    /// @return value of a row; empty if it is missing
    std::string value(const std::string& table, const std::string& key) const;
    /// @return version of the last write to any table
    std::uint64_t version() const;
    /// @return number of reads of a table received so far; feeds are not counted
    int read_count(const std::string& table) const;
    /// @return number of feed responses so far that carried rows of a table
    int feed_count(const std::string& table) const;

    /// Changes values in the answers to those who use another address of the store.
    using rewriter = std::function<std::string(const std::string& table, const std::string& key,
                                               const std::string& value)>;
    /// @return a further `host:port` of the store
    std::string add_address(rewriter rewrite);

    /// Keeps a copy of all rows.
    void save_copy();
    /// Comes back from the saved copy: later writes are lost, their versions are given out again,
    /// and the era in all answers rises by one.
    void restore_copy();

    std::atomic<bool> is_down{false};            ///< answers all calls with 503
    std::atomic<int> write_responses_to_drop{0}; ///< next writes to apply without a response
    std::atomic<bool> has_feed_history{true};    ///< if false, answers feeds with 410
    std::atomic<int> call_count{0};              ///< received so far

private:
    struct stored_row {
        std::string value;
        std::uint64_t version{0};
        bool is_removed{false};
    };
    using table_rows = std::map<std::string, stored_row>;

    void handle(const server_request& request, const rewriter& rewrite,
                const std::shared_ptr<http_responder>& responder);
    void respond_to_feed(const std::string& table, std::uint64_t after, int remaining_polls,
                         const rewriter& rewrite, const std::shared_ptr<http_responder>& responder);
    void write(const nlohmann::json& body);
    void respond(http_responder& responder, int status, const std::string& body = "") const;
    std::string to_text(const std::string& table, const nlohmann::json& page) const;
    nlohmann::json list(const std::string& table, std::uint64_t after, bool with_removed,
                        const rewriter& rewrite) const;

    mutable std::mutex mutex_;
    std::map<std::string, table_rows> tables_;
    std::uint64_t version_{0};
    std::map<std::string, table_rows> saved_tables_;
    std::uint64_t saved_version_{0};
    std::uint64_t era_{1};
    std::map<std::string, std::vector<std::string>> raw_records_; ///< by table
    std::map<std::string, int> read_counts_;                      ///< by table
    std::map<std::string, int> feed_counts_;                      ///< by table
    io_thread_pool timers_{1};
    std::vector<std::unique_ptr<http_server>> servers_;
};

} // namespace citronseam::harness

#endif
