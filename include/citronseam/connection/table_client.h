/// @file
/// Client of the platform's table service and object store: rows with conditional writes (RFC 9110
/// entity tags) and immutable objects.
#ifndef CITRONSEAM_CONNECTION_TABLE_CLIENT_H
#define CITRONSEAM_CONNECTION_TABLE_CLIENT_H

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "citronseam/process/clock.h"
#include "citronseam/process/error.h"
#include "citronseam/process/sizes.h"

namespace citronseam {

class http_client;

/// A row and the entity tag of its current version.
struct table_row {
    std::string key;
    std::string tag;
    std::string value;
};

/// Names of the tables.
namespace tables {
constexpr std::string_view configuration = "configuration";
constexpr std::string_view keys = "keys";
constexpr std::string_view permits = "permits";
} // namespace tables

/// Receives the outcome of a read or write. Runs on the HTTP client's thread.
///
/// Errors: `not_found`; `precondition_failed`: another writer changed the row; `unavailable`:
/// nothing was written; `outcome_unknown`: the response was lost and the write may have taken
/// effect.
using row_callback = std::function<void(result<table_row>)>;
/// Receives a list of rows.
using rows_callback = std::function<void(result<std::vector<table_row>>)>;
/// Receives the content of an object.
using object_callback = std::function<void(result<std::string>)>;

/// Longest object that is read, in bytes.
constexpr std::size_t max_object_size = 64 * mebibyte;

/// Asynchronous client. All functions may be called from any thread.
class table_client {
public:
    /// @param http             HTTP client; must outlive this object
    /// @param table_url        base URL of the table service
    /// @param object_store_url base URL of the object store
    /// @param timeout          for one exchange
    table_client(http_client& http, std::string table_url, std::string object_store_url,
                 milliseconds timeout);

    /// Reads a row.
    void read(std::string_view table, const std::string& key, row_callback callback);
    /// Lists at most `limit` rows whose key starts with a prefix.
    void list(std::string_view table, const std::string& prefix, std::size_t limit,
              rows_callback callback);
    /// Writes a row that must not exist yet.
    void insert(std::string_view table, const std::string& key, std::string value,
                row_callback callback);
    /// Writes a row whose current tag must be `tag`.
    void replace(std::string_view table, const std::string& key, const std::string& tag,
                 std::string value, row_callback callback);
    /// Deletes a row whose current tag must be `tag`.
    void remove(std::string_view table, const std::string& key, const std::string& tag,
                row_callback callback);

    /// Writes an object. Idempotent: the same content may be written again.
    void put_object(const std::string& name, std::string content, object_callback callback);
    /// Reads an object.
    void get_object(const std::string& name, object_callback callback);
    /// Deletes an object; succeeds when it does not exist.
    void remove_object(const std::string& name, object_callback callback);

private:
    std::string row_url(std::string_view table, const std::string& key) const;
    void write(std::string method, std::string_view table, const std::string& key,
               std::string condition, std::string tag, std::string value, row_callback callback);

    http_client& http_;
    std::string table_url_;
    std::string object_store_url_;
    milliseconds timeout_;
};

} // namespace citronseam

#endif
