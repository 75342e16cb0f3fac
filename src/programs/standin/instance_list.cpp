// Stand-in for the platform's list of live and leaving instances. Changes become visible after a
// configurable lag.
#include <map>

#include "citronseam/connection/http_client.h"
#include "citronseam/process/random.h"
#include "programs/standin/standin_server.h"

namespace citronseam::standin {
namespace {

class instance_list {
public:
    explicit instance_list(int lag_ms) : lag_ms_(lag_ms) {}

    void attach(standin_server& server) { server_ = &server; }

    void handle(const server_request& request, const std::shared_ptr<http_responder>& responder) {
        constexpr std::string_view base = "/instances/";
        const std::lock_guard<std::mutex> lock(mutex_);
        if (request.path == "/instances" && request.method == "GET") {
            respond_list(request, *responder);
            return;
        }
        const std::string name =
            request.path.rfind(base, 0) == 0 ? request.path.substr(base.size()) : "";
        const auto row = nlohmann::json::parse(request.body, nullptr, false);
        if (name.empty() || (request.method == "PUT" && !row.is_object())) {
            respond_json(*responder, 400,
                         {{"error", "expected /instances/NAME with a JSON object"}});
            return;
        }
        schedule_change(request.method == "DELETE" ? nlohmann::json() : row, name);
        respond_json(*responder, 200, {{"ok", true}});
    }

private:
    /// Applies a change after the lag. A null row deletes the instance.
    void schedule_change(nlohmann::json row, const std::string& name) {
        auto apply = [this, row = std::move(row), name] {
            if (row.is_null()) {
                rows_.erase(name);
            } else {
                rows_[name] = row;
                rows_[name]["instance"] = name;
            }
        };
        if (lag_ms_ == 0) {
            apply();
            return;
        }
        server_->timers().post_after(milliseconds(lag_ms_), [this, apply] {
            const std::lock_guard<std::mutex> lock(mutex_);
            apply();
        });
    }

    void respond_list(const server_request& request, http_responder& responder) const {
        const nlohmann::json list = {{"instances", rows_as_json()}};
        const std::string tag = "\"" + std::to_string(hash_text(list.dump())) + "\"";
        if (find_header(request.headers, "If-None-Match") == tag) {
            responder.respond(304, {{"ETag", tag}}, "");
            return;
        }
        respond_json(responder, 200, list, {{"ETag", tag}});
    }

    nlohmann::json rows_as_json() const {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& [name, row] : rows_) {
            list.push_back(row);
        }
        return list;
    }

    std::mutex mutex_;
    int lag_ms_;
    std::map<std::string, nlohmann::json> rows_;
    standin_server* server_{nullptr};
};

} // namespace

int run_instances(const std::string& address, int lag_ms) {
    instance_list service(lag_ms);
    return serve("instances", address, service);
}

} // namespace citronseam::standin
