#include "support/row_store.h"

#include "support/standin_http.h"

namespace citronseam::harness {
namespace {

using nlohmann::json;

constexpr milliseconds feed_poll_interval{20};

constexpr std::string_view base64_alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode_base64(const std::string& bytes) {
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += j <= count ? base64_alphabet[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

std::string decode_base64(const std::string& text) {
    std::string bytes;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char character : text) {
        const auto value = base64_alphabet.find(character);
        if (value == std::string_view::npos) {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
        }
    }
    return bytes;
}

} // namespace

row_store::row_store() {
    add_address({});
}

std::string row_store::address() const {
    return loopback_address(servers_.front()->port());
}

std::string row_store::add_address(rewriter rewrite) {
    servers_.push_back(start_server(
        [this, rewrite = std::move(rewrite)](const server_request& request,
                                             const std::shared_ptr<http_responder>& responder) {
            handle(request, rewrite, responder);
        }));
    return loopback_address(servers_.back()->port());
}

std::uint64_t row_store::put(const std::string& table, const std::string& key,
                             const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_[table][key] = {value, ++version_, false};
    return version_;
}

void row_store::remove(const std::string& table, const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_[table][key] = {"", ++version_, true};
}

void row_store::set_raw_records(const std::string& table, std::vector<std::string> records) {
    const std::lock_guard<std::mutex> lock(mutex_);
    raw_records_[table] = std::move(records);
}

/// @return an answer with the raw records of its table
std::string row_store::to_text(const std::string& table, const json& page) const {
    constexpr std::string_view list_begin = R"("records":[)";
    std::string text = page.dump();
    const auto raw = raw_records_.find(table);
    if (raw == raw_records_.end() || page.at("records").empty()) {
        return text;
    }
    std::string records;
    for (const std::string& record : raw->second) {
        records += record + ",";
    }
    return text.insert(text.find(list_begin) + list_begin.size(), records);
}

void row_store::save_copy() {
    const std::lock_guard<std::mutex> lock(mutex_);
    saved_tables_ = tables_;
    saved_version_ = version_;
}

void row_store::restore_copy() {
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_ = saved_tables_;
    version_ = saved_version_;
    ++era_;
}

void row_store::respond(http_responder& responder, int status, const std::string& body) const {
    responder.respond(
        status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}}, body);
}

std::string row_store::value(const std::string& table, const std::string& key) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto rows = tables_.find(table);
    if (rows == tables_.end()) {
        return "";
    }
    const auto row = rows->second.find(key);
    return row == rows->second.end() ? "" : row->second.value;
}

std::uint64_t row_store::version() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return version_;
}

int row_store::read_count(const std::string& table) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = read_counts_.find(table);
    return found == read_counts_.end() ? 0 : found->second;
}

int row_store::feed_count(const std::string& table) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = feed_counts_.find(table);
    return found == feed_counts_.end() ? 0 : found->second;
}

json row_store::list(const std::string& table, std::uint64_t after, bool with_removed,
                     const rewriter& rewrite) const {
    json records = json::array();
    const auto found = tables_.find(table);
    if (found != tables_.end()) {
        for (const auto& [key, row] : found->second) {
            if (row.version <= after || (row.is_removed && !with_removed)) {
                continue;
            }
            json record = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
            if (row.is_removed) {
                record["tombstone"] = true;
            } else {
                record["value"] =
                    encode_base64(rewrite ? rewrite(table, key, row.value) : row.value);
            }
            records.push_back(std::move(record));
        }
    }
    return {{"records", records}, {"has_more", false}, {"ver", version_}, {"server_time_ms", 1}};
}

void row_store::write(const json& body) {
    for (const auto& row : body.at("set_keys")) {
        put(row.at("table"), row.at("key"), decode_base64(row.at("value")));
    }
}

void row_store::respond_to_feed(const std::string& table, std::uint64_t after, int remaining_polls,
                                const rewriter& rewrite,
                                const std::shared_ptr<http_responder>& responder) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (after > version_) {
            respond(*responder, 410);
            return;
        }
        const json found = list(table, after, true, rewrite);
        feed_counts_[table] += found.at("records").empty() ? 0 : 1;
        if (!found.at("records").empty() || remaining_polls == 0) {
            respond(*responder, 200, to_text(table, found));
            return;
        }
    }
    timers_.post_after(feed_poll_interval,
                       [this, table, after, remaining_polls, rewrite, responder] {
                           respond_to_feed(table, after, remaining_polls - 1, rewrite, responder);
                       });
}

void row_store::handle(const server_request& request, const rewriter& rewrite,
                       const std::shared_ptr<http_responder>& responder) {
    ++call_count;
    const std::string table = query_parameter(request, "table");
    if (is_down) {
        const std::lock_guard<std::mutex> lock(mutex_);
        respond(*responder, 503);
    } else if (request.path == "/rows-get") {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++read_counts_[table];
        respond(*responder, 200, to_text(table, list(table, 0, false, rewrite)));
    } else if (request.path == "/rows-feed" && !has_feed_history) {
        const std::lock_guard<std::mutex> lock(mutex_);
        respond(*responder, 410);
    } else if (request.path == "/rows-feed") {
        const auto polls = parse_number(query_parameter(request, "wait_timeout_ms")) /
                           static_cast<std::uint64_t>(feed_poll_interval.count());
        respond_to_feed(table, parse_number(query_parameter(request, "after")),
                        static_cast<int>(polls), rewrite, responder);
    } else if (request.path == "/rows-tx") {
        write(json::parse(request.body));
        if (write_responses_to_drop > 0) {
            --write_responses_to_drop;
            responder->abort();
        } else {
            const std::lock_guard<std::mutex> lock(mutex_);
            respond(*responder, 200, json{{"ver", version_}, {"server_time_ms", 1}}.dump());
        }
    } else {
        const std::lock_guard<std::mutex> lock(mutex_);
        respond(*responder, 404);
    }
}

} // namespace citronseam::harness
