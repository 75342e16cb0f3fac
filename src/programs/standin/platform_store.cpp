// Stand-in for the platform's table service (rows with entity tags) and object store.
#include <map>

#include "citronseam/connection/http_client.h"
#include "programs/standin/standin_server.h"

namespace citronseam::standin {
namespace {

struct row {
    std::uint64_t version{0};
    std::string value;
};

constexpr std::string_view rows_suffix = "/rows";

class store {
public:
    void handle(const server_request& request, const std::shared_ptr<http_responder>& responder) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (request.path.rfind("/objects/", 0) == 0) {
            handle_object(request, *responder);
        } else if (request.path.rfind("/tables/", 0) == 0) {
            handle_table(request, *responder);
        } else if (request.path == "/counts") {
            respond_json(*responder, 200,
                         {{"reads", reads_}, {"writes", writes_}, {"objects", objects_.size()}});
        } else {
            respond_json(*responder, 404, {{"error", "no such path"}});
        }
    }

    void attach(standin_server& server) { server_ = &server; }

private:
    void handle_object(const server_request& request, http_responder& responder) {
        if (request.method == "PUT") {
            ++writes_;
            objects_[request.path] = request.body;
            respond_or_drop(responder, 201, "", "");
            return;
        }
        if (request.method == "DELETE") {
            ++writes_;
            const bool is_present = objects_.erase(request.path) > 0;
            respond_or_drop(responder, is_present ? 200 : 404, "", "");
            return;
        }
        ++reads_;
        const auto found = objects_.find(request.path);
        if (found == objects_.end()) {
            respond_json(responder, 404, {{"error", "no such object"}});
            return;
        }
        responder.respond(200, {{"Content-Type", "application/octet-stream"}}, found->second);
    }

    void handle_table(const server_request& request, http_responder& responder) {
        const auto suffix_position = request.path.rfind(rows_suffix);
        if (suffix_position != std::string::npos &&
            suffix_position + rows_suffix.size() == request.path.size()) {
            list_rows(request, responder);
        } else if (request.method == "GET") {
            read_row(request, responder);
        } else {
            write_row(request, responder);
        }
    }

    void list_rows(const server_request& request, http_responder& responder) {
        ++reads_;
        const std::string base = request.path + "/";
        const std::string prefix = base + query_parameter(request, "prefix");
        const std::string limit_text = query_parameter(request, "limit");
        const std::size_t limit = limit_text.empty() ? 1000 : std::stoul(limit_text);
        nlohmann::json rows = nlohmann::json::array();
        for (auto entry = rows_.lower_bound(prefix);
             entry != rows_.end() && entry->first.rfind(prefix, 0) == 0 && rows.size() < limit;
             ++entry) {
            rows.push_back({{"key", entry->first.substr(base.size())},
                            {"tag", entity_tag(entry->second)},
                            {"value", entry->second.value}});
        }
        respond_json(responder, 200, {{"rows", rows}});
    }

    void read_row(const server_request& request, http_responder& responder) {
        ++reads_;
        const auto found = rows_.find(request.path);
        if (found == rows_.end()) {
            respond_json(responder, 404, {{"error", "no such row"}});
            return;
        }
        responder.respond(200, {{"ETag", entity_tag(found->second)}}, found->second.value);
    }

    void write_row(const server_request& request, http_responder& responder) {
        ++writes_;
        const auto found = rows_.find(request.path);
        const bool is_present = found != rows_.end();
        const std::string match = find_header(request.headers, "If-Match");
        const bool must_be_new = find_header(request.headers, "If-None-Match") == "*";
        const bool is_matching =
            match.empty() || (is_present && match == entity_tag(found->second));
        if ((must_be_new && is_present) || !is_matching) {
            respond_json(responder, 412, {{"error", "the condition does not hold"}});
            return;
        }
        if (request.method == "DELETE") {
            rows_.erase(request.path);
            respond_or_drop(responder, 200, "", "{}");
            return;
        }
        row& written = rows_[request.path];
        written.version = ++last_version_;
        written.value = request.body;
        server_->record_event({{"event", "written"}, {"row", request.path}});
        respond_or_drop(responder, 200, entity_tag(written), request.body);
    }

    void respond_or_drop(http_responder& responder, int status, const std::string& tag,
                         const std::string& body) {
        if (consume_one(server_->faults().lost_responses)) {
            responder.abort();
            return;
        }
        std::vector<http_header> headers;
        if (!tag.empty()) {
            headers.push_back({"ETag", tag});
        }
        responder.respond(status, headers, body);
    }

    static std::string entity_tag(const row& entry) {
        return "\"" + std::to_string(entry.version) + "\"";
    }

    std::mutex mutex_;
    std::map<std::string, row> rows_;
    std::map<std::string, std::string> objects_;
    std::uint64_t last_version_{0};
    std::uint64_t reads_{0};
    std::uint64_t writes_{0};
    standin_server* server_{nullptr};
};

} // namespace

int run_store(const std::string& address) {
    store service;
    return serve("store", address, service);
}

} // namespace citronseam::standin
